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

// node is a YAML value with the place that it was read from. Parsed nodes are
// shared between merged trees and never changed.
type node struct {
	kind nodeKind
	file string
	line int
	col  int
	// value is a string, bool, int64, uint64 or float64; nil for null.
	value  any
	keys   []string // of a map, in the order of the file
	fields map[string]*node
	// places holds where each key of a map stands.
	places map[string]place
	items  []*node
	// merged is set on a map that mergeNodes made.
	merged bool
}

type place struct {
	file string
	line int
	col  int
}

func (p place) refuse(code result.Code, field, remedy, format string, args ...any) *result.Error {
	e := result.New(code, format, args...)
	e.File, e.Line, e.Column, e.Field, e.Remedy = p.file, p.line, p.col, field, remedy
	return e
}

func (n *node) place() place {
	return place{file: n.file, line: n.line, col: n.col}
}

// parseFile reads one file into a tree and refuses what the format leaves out:
// several documents, anchors, aliases, tags and merge keys.
func parseFile(f File) (*node, []*result.Error) {
	if err := checkContent(f); err != nil {
		return nil, []*result.Error{err}
	}
	file, err := parseYAML(f.Content)
	if err != nil {
		return nil, []*result.Error{syntaxError(f.Name, err)}
	}
	b := treeBuilder{file: f.Name}
	root := b.document(file)
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return root, nil
}

// parseYAML turns a panic of the parser into an error: a file must never stop
// the replicas that judge it.
func parseYAML(content []byte) (file *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			file, err = nil, errors.Newf("the YAML parser failed: %v", p)
		}
	}()
	return parser.ParseBytes(content, 0)
}

// checkContent refuses what must not reach the YAML parser.
func checkContent(f File) *result.Error {
	at := place{file: f.Name}
	switch {
	case len(f.Content) > MaxFileBytes:
		return at.refuse(result.FileTooLarge, "", "split it into several files",
			"%d bytes; the limit is %d", len(f.Content), MaxFileBytes)
	case !utf8.Valid(f.Content):
		return at.refuse(result.FileNotUTF8, "", "save it as UTF-8", "not UTF-8 from byte %d", invalidOffset(f.Content))
	case bytes.IndexByte(f.Content, 0) >= 0:
		return at.refuse(result.FileSyntax, "", "write it again", "contains a NUL byte")
	case len(bytes.TrimSpace(f.Content)) == 0:
		return at.refuse(result.FileSyntax, "", "write its content, or remove the file", "the file is empty")
	}
	return checkNesting(f)
}

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

// checkNesting bounds the depth before the recursive parser sees the file:
// block nesting costs columns at the start of a line, flow nesting brackets.
func checkNesting(f File) *result.Error {
	line, indent, open := 1, 0, 0
	atStart := true
	for _, c := range f.Content {
		switch c {
		case '\n':
			line, indent, atStart = line+1, 0, true
			continue
		case '[', '{':
			open++
		case ']', '}':
			open = max(0, open-1)
		}
		atStart = atStart && (c == ' ' || c == '-' || c == '?')
		if atStart {
			indent++
		}
		if indent > maxIndent || open > maxBrackets {
			return place{file: f.Name, line: line, col: 1}.refuse(result.FileSyntax, "",
				"write it with less nesting", "the line is nested too deeply")
		}
	}
	return nil
}

func syntaxError(name string, err error) *result.Error {
	at := place{file: name}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		at.line, at.col = syntax.Token.Position.Line, syntax.Token.Position.Column
		return at.refuse(result.FileSyntax, "", "correct this line", "%s", syntax.Message)
	}
	return at.refuse(result.FileSyntax, "", "correct the file", "%s", err.Error())
}

type treeBuilder struct {
	file     string
	depth    int
	problems []*result.Error
}

// at returns the place of a value; that of a map is its first key's.
func (b *treeBuilder) at(n ast.Node) place {
	switch v := n.(type) {
	case *ast.MappingNode:
		if len(v.Values) > 0 {
			return b.at(v.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return b.at(v.Key)
	}
	p := place{file: b.file}
	if tok := n.GetToken(); tok != nil && tok.Position != nil {
		p.line, p.col = tok.Position.Line, tok.Position.Column
	}
	return p
}

func (b *treeBuilder) refuse(n ast.Node, remedy, format string, args ...any) {
	b.problems = append(b.problems, b.at(n).refuse(result.FileSyntax, "", remedy, format, args...))
}

func (b *treeBuilder) document(file *ast.File) *node {
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
		b.refuse(bodies[1], "put it into a file of its own", "a second YAML document")
		return nil
	}
	root := b.build(bodies[0])
	if root != nil && root.kind != mapNode {
		b.problems = append(b.problems, root.place().refuse(result.WrongType, "", "write key: value lines",
			"the file is a %s, not a map", root.describe()))
	}
	return root
}

func (b *treeBuilder) build(n ast.Node) *node {
	b.depth++
	defer func() { b.depth-- }()
	if b.depth > maxDepth {
		b.refuse(n, "write it with less nesting", "nested deeper than %d levels", maxDepth)
		return nil
	}
	at := b.at(n)
	built := &node{file: at.file, line: at.line, col: at.col}
	switch v := n.(type) {
	case *ast.MappingNode:
		b.mapping(built, v.Values)
	case *ast.MappingValueNode:
		b.mapping(built, []*ast.MappingValueNode{v})
	case *ast.SequenceNode:
		built.kind = listNode
		for _, item := range v.Values {
			built.items = append(built.items, b.build(item))
		}
	default:
		return b.scalar(built, n)
	}
	return built
}

func (b *treeBuilder) mapping(built *node, values []*ast.MappingValueNode) {
	built.kind = mapNode
	built.fields = make(map[string]*node, len(values))
	built.places = make(map[string]place, len(values))
	for _, pair := range values {
		key, ok := b.key(pair.Key)
		if !ok {
			continue
		}
		at := b.at(pair.Key)
		if first, twice := built.places[key]; twice {
			b.refuse(pair.Key, "keep one of them", "the key %q stands twice, first on line %d", key, first.line)
			continue
		}
		built.keys = append(built.keys, key)
		built.places[key] = at
		built.fields[key] = b.build(pair.Value)
	}
}

func (b *treeBuilder) key(n ast.MapKeyNode) (string, bool) {
	switch k := n.(type) {
	case *ast.StringNode:
		return k.Value, true
	case *ast.MergeKeyNode:
		b.refuse(n, "write the keys out", "a merge key")
	default:
		if scalar, ok := n.(ast.ScalarNode); ok {
			return scalar.GetToken().Value, true
		}
		b.refuse(n, "use a plain name as the key", "a key that is no plain name")
	}
	return "", false
}

func (b *treeBuilder) scalar(built *node, n ast.Node) *node {
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
		b.refuse(n, "write the value out", "anchors and aliases are not supported")
		return nil
	case *ast.TagNode:
		b.refuse(n, "remove the tag", "tags are not supported")
		return nil
	default:
		b.refuse(n, "write a plain value", "%s is not supported here", n.Type())
		return nil
	}
	return built
}

// describe names the node's type for operators.
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
		return "number with a fraction"
	default:
		return "number"
	}
}

// mergeNodes lays over upon under: maps merge key by key, anything else of
// over replaces what stood there. Parsed nodes are left as they are; a map
// that an earlier call made is extended.
func mergeNodes(under, over *node) *node {
	if under == nil || under.kind != mapNode || over.kind != mapNode {
		return over
	}
	merged := under.own()
	for _, key := range over.keys {
		before, ok := merged.fields[key]
		if !ok {
			merged.keys = append(merged.keys, key)
		}
		merged.fields[key], merged.places[key] = mergeNodes(before, over.fields[key]), over.places[key]
	}
	return merged
}

// own returns a map node that may be extended: a copy of a parsed one.
func (n *node) own() *node {
	if n.merged {
		return n
	}
	own := *n
	own.merged = true
	own.keys = slices.Clone(n.keys)
	own.fields, own.places = maps.Clone(n.fields), maps.Clone(n.places)
	return &own
}
