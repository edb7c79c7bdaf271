package config

import (
	"bytes"
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/waxwingpost/waxwingpost/process/result"
)

type nodeKind int

const (
	scalarNode nodeKind = iota
	mapNode
	listNode
)

// node is a YAML value with its position in the source. Parsed nodes are
// shared between merged trees and must not be modified.
type node struct {
	kind nodeKind
	file string
	line int
	col  int
	// value is a string, bool, int64, uint64 or float64; nil for null.
	value  any
	keys   []string // keys of a map, in file order
	fields map[string]*node
	// positions holds the position of each key of a map.
	positions map[string]position
	items     []*node
	// merged is set on a map that mergeNodes created and may extend in place.
	merged bool
}

// position is a location in a configuration file. Line and col count from 1 and
// are zero if unknown.
type position struct {
	file string
	line int
	col  int
}

// newError returns an error that is located at p.
func (p position) newError(code result.Code, field, remedy, format string, args ...any) *result.Error {
	e := result.New(code, format, args...)
	e.File, e.Line, e.Column, e.Field, e.Remedy = p.file, p.line, p.col, field, remedy
	return e
}

func (n *node) position() position {
	return position{file: n.file, line: n.line, col: n.col}
}

// parseFile parses one file into a tree. It rejects YAML features that the
// configuration does not support: multiple documents, anchors, aliases, tags
// and merge keys.
func parseFile(f File) (*node, []*result.Error) {
	if err := checkContent(f); err != nil {
		return nil, []*result.Error{err}
	}
	file, err := parseYAML(f.Content)
	if err != nil {
		return nil, []*result.Error{syntaxError(f.Name, err)}
	}
	b := treeBuilder{file: f.Name}
	root := b.buildDocument(file)
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return root, nil
}

// parseYAML converts a panic of the parser into an error, because an invalid
// file must not crash the replicas that validate it.
func parseYAML(content []byte) (file *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			file, err = nil, errors.Newf("the YAML parser failed: %v", p)
		}
	}()
	return parser.ParseBytes(content, 0)
}

// checkContent rejects content that the YAML parser must not see.
func checkContent(f File) *result.Error {
	pos := position{file: f.Name}
	switch {
	case len(f.Content) > MaxFileBytes:
		return pos.newError(result.FileTooLarge, "", "split it into several files",
			"%d bytes; the limit is %d", len(f.Content), MaxFileBytes)
	case !utf8.Valid(f.Content):
		return pos.newError(result.FileNotUTF8, "", "save it as UTF-8", "invalid UTF-8 at byte offset %d", invalidOffset(f.Content))
	case bytes.IndexByte(f.Content, 0) >= 0:
		return pos.newError(result.FileSyntax, "", "save it as plain text", "the file contains a NUL byte")
	case len(bytes.TrimSpace(f.Content)) == 0:
		return pos.newError(result.FileSyntax, "", "add content or remove the file", "the file is empty")
	}
	return checkNesting(f)
}

// invalidOffset returns the offset of the first byte that is not valid UTF-8.
func invalidOffset(b []byte) int {
	for i := 0; i < len(b); {
		r, size := utf8.DecodeRune(b[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return len(b)
}

// checkNesting limits the nesting depth before the recursive parser runs. Block
// nesting shows as indentation, flow nesting as open brackets.
func checkNesting(f File) *result.Error {
	line, indent, openBrackets := 1, 0, 0
	atStart := true
	for _, c := range f.Content {
		switch c {
		case '\n':
			line, indent, atStart = line+1, 0, true
			continue
		case '[', '{':
			openBrackets++
		case ']', '}':
			openBrackets = max(0, openBrackets-1)
		}
		atStart = atStart && (c == ' ' || c == '-' || c == '?')
		if atStart {
			indent++
		}
		if indent > maxIndent || openBrackets > maxBrackets {
			return position{file: f.Name, line: line, col: 1}.newError(result.FileSyntax, "",
				"reduce the nesting", "the line is nested too deeply")
		}
	}
	return nil
}

func syntaxError(name string, err error) *result.Error {
	pos := position{file: name}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		pos.line, pos.col = syntax.Token.Position.Line, syntax.Token.Position.Column
		return pos.newError(result.FileSyntax, "", "correct this line", "%s", syntax.Message)
	}
	return pos.newError(result.FileSyntax, "", "correct the file", "%s", err.Error())
}

// treeBuilder converts a YAML syntax tree into nodes and collects the errors.
type treeBuilder struct {
	file     string
	depth    int
	problems []*result.Error
}

// positionOf returns the position of a value. A map has the position of its
// first key.
func (b *treeBuilder) positionOf(n ast.Node) position {
	switch v := n.(type) {
	case *ast.MappingNode:
		if len(v.Values) > 0 {
			return b.positionOf(v.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return b.positionOf(v.Key)
	}
	p := position{file: b.file}
	if tok := n.GetToken(); tok != nil && tok.Position != nil {
		p.line, p.col = tok.Position.Line, tok.Position.Column
	}
	return p
}

func (b *treeBuilder) addProblem(n ast.Node, remedy, format string, args ...any) {
	b.problems = append(b.problems, b.positionOf(n).newError(result.FileSyntax, "", remedy, format, args...))
}

func (b *treeBuilder) buildDocument(file *ast.File) *node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		return &node{kind: mapNode, file: b.file, line: 1, col: 1}
	}
	if len(bodies) > 1 {
		b.addProblem(bodies[1], "move it to a separate file", "the file contains a second YAML document")
		return nil
	}
	root := b.buildNode(bodies[0])
	if root != nil && root.kind != mapNode {
		b.problems = append(b.problems, root.position().newError(result.WrongType, "", "write key: value lines",
			"the top level is a %s, not a map", root.describe()))
	}
	return root
}

func (b *treeBuilder) buildNode(n ast.Node) *node {
	b.depth++
	defer func() { b.depth-- }()
	if b.depth > maxDepth {
		b.addProblem(n, "reduce the nesting", "nested deeper than %d levels", maxDepth)
		return nil
	}
	pos := b.positionOf(n)
	built := &node{file: pos.file, line: pos.line, col: pos.col}
	switch v := n.(type) {
	case *ast.MappingNode:
		b.buildMapping(built, v.Values)
	case *ast.MappingValueNode:
		b.buildMapping(built, []*ast.MappingValueNode{v})
	case *ast.SequenceNode:
		built.kind = listNode
		for _, item := range v.Values {
			built.items = append(built.items, b.buildNode(item))
		}
	default:
		return b.buildScalar(built, n)
	}
	return built
}

func (b *treeBuilder) buildMapping(built *node, values []*ast.MappingValueNode) {
	built.kind = mapNode
	built.fields = make(map[string]*node, len(values))
	built.positions = make(map[string]position, len(values))
	for _, pair := range values {
		key, ok := b.parseKey(pair.Key)
		if !ok {
			continue
		}
		pos := b.positionOf(pair.Key)
		if first, duplicate := built.positions[key]; duplicate {
			b.addProblem(pair.Key, "keep one of them", "duplicate key %q, first defined on line %d", key, first.line)
			continue
		}
		built.keys = append(built.keys, key)
		built.positions[key] = pos
		built.fields[key] = b.buildNode(pair.Value)
	}
}

func (b *treeBuilder) parseKey(n ast.MapKeyNode) (string, bool) {
	switch k := n.(type) {
	case *ast.StringNode:
		return k.Value, true
	case *ast.MergeKeyNode:
		b.addProblem(n, "write the keys out", "merge keys are not supported")
	default:
		if scalar, ok := n.(ast.ScalarNode); ok {
			return scalar.GetToken().Value, true
		}
		b.addProblem(n, "use a scalar as the key", "the key is not a scalar")
	}
	return "", false
}

func (b *treeBuilder) buildScalar(built *node, n ast.Node) *node {
	switch v := n.(type) {
	case *ast.NullNode:
		built.value = nil
	case *ast.StringNode:
		built.value = v.Value
	case *ast.LiteralNode:
		built.value = v.Value.Value
	case *ast.BoolNode:
		built.value = v.Value
	case *ast.IntegerNode:
		built.value = v.Value
	case *ast.FloatNode:
		built.value = v.Value
	case *ast.AnchorNode, *ast.AliasNode:
		b.addProblem(n, "write the value out", "anchors and aliases are not supported")
		return nil
	case *ast.TagNode:
		b.addProblem(n, "remove the tag", "tags are not supported")
		return nil
	default:
		b.addProblem(n, "use a scalar, list or map", "%s is not supported here", n.Type())
		return nil
	}
	return built
}

// describe returns the node's type as error messages show it.
func (n *node) describe() string {
	switch n.kind {
	case mapNode:
		return "map"
	case listNode:
		return "list"
	}
	switch n.value.(type) {
	case nil:
		return "null"
	case string:
		return "string"
	case bool:
		return "boolean"
	case float64:
		return "fractional number"
	default:
		return "number"
	}
}

// mergeNodes merges overlay into base: maps merge key by key, any other value
// of overlay replaces the value in base. Parsed nodes are not modified; a map
// that an earlier call created is extended in place.
func mergeNodes(base, overlay *node) *node {
	if base == nil || base.kind != mapNode || overlay.kind != mapNode {
		return overlay
	}
	merged := base.mutable()
	for _, key := range overlay.keys {
		previous, ok := merged.fields[key]
		if !ok {
			merged.keys = append(merged.keys, key)
		}
		merged.fields[key], merged.positions[key] = mergeNodes(previous, overlay.fields[key]), overlay.positions[key]
	}
	return merged
}

// mutable returns a map node that may be modified: n itself when it was created
// by a merge, else a copy of it.
func (n *node) mutable() *node {
	if n.merged {
		return n
	}
	clone := *n
	clone.merged = true
	clone.keys = slices.Clone(n.keys)
	clone.fields, clone.positions = maps.Clone(n.fields), maps.Clone(n.positions)
	return &clone
}
