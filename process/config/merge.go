package config

import (
	"cmp"
	"path"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

// Limits on the configuration files.
const (
	MaxFiles      = 256
	MaxFileBytes  = 256 << 10
	MaxTotalBytes = 2 << 20
	maxNameBytes  = 128
	maxDepth      = 16
	maxIndent     = 64
	maxBrackets   = 64
	maxProblems   = 200
)

// File is one configuration file of the folder.
type File struct {
	// Name is the base name of the file.
	Name    string
	Content []byte
}

// Merged is a merged configuration with the location of each value.
type Merged struct {
	Config *Config
	// Locations maps the dotted path of each value that a file sets to
	// "file:line". Values without a location are defaults.
	Locations map[string]string
}

// Merge merges files in the byte order of their names and validates the
// result. It returns all problems, sorted by file and line, and a nil Merged if
// there are any. The same files give the same result on every VM.
func Merge(files []File) (*Merged, []*result.Error) {
	return new(Merger).Merge(files)
}

// Merger caches the parsed files of the last merge, so that only changed files
// are parsed again. It is not safe for concurrent use.
type Merger struct {
	parsed map[parsedKey]parsedFile
}

type parsedKey struct {
	name   string
	digest manifest.Digest
}

type parsedFile struct {
	tree     *node
	problems []*result.Error
}

// Merge merges and validates files like the function Merge.
func (m *Merger) Merge(files []File) (*Merged, []*result.Error) {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	if problems := checkFileSet(files); len(problems) > 0 {
		return nil, sortProblems(problems)
	}
	cached := m.parsed
	m.parsed = make(map[parsedKey]parsedFile, len(files))
	root := newRootNode()
	var problems []*result.Error
	for _, f := range files {
		key := parsedKey{name: f.Name, digest: manifest.Sum(f.Content)}
		parsed, ok := cached[key]
		if !ok {
			parsed = parseAndCheck(f)
		}
		m.parsed[key] = parsed
		problems = append(problems, parsed.problems...)
		if len(parsed.problems) == 0 {
			root = mergeNodes(root, parsed.tree)
		}
	}
	if len(problems) > 0 {
		return nil, sortProblems(problems)
	}
	return decodeAndValidate(root)
}

// MergeAccepted merges files that were accepted earlier, possibly by a release
// with other rules. If they are not valid in this release, it skips the files and
// values that can't be decoded and does not validate the rest, so that an accepted
// configuration stays in force.
func (m *Merger) MergeAccepted(files []File) *Merged {
	if merged, problems := m.Merge(files); len(problems) == 0 {
		return merged
	}
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	root := newRootNode()
	for _, f := range files {
		if tree, problems := parseFile(f); len(problems) == 0 {
			root = mergeNodes(root, tree)
		}
	}
	return decodeRoot(root, &decoder{})
}

// parseAndCheck parses one file and checks it against the schema.
func parseAndCheck(f File) parsedFile {
	tree, problems := parseFile(f)
	if len(problems) == 0 {
		problems = checkSchema(tree)
	}
	return parsedFile{tree: tree, problems: problems}
}

func newRootNode() *node {
	return &node{kind: mapNode, merged: true, fields: make(map[string]*node), positions: make(map[string]position)}
}

func decodeRoot(root *node, d *decoder) *Merged {
	m := &Merged{Config: newConfig(), Locations: map[string]string{}}
	d.decode(root, "", reflect.ValueOf(m.Config).Elem())
	m.Config.setServiceDefaults()
	collectLocations(root, "", m.Locations)
	return m
}

// decodeAndValidate decodes and validates a merged tree.
func decodeAndValidate(root *node) (*Merged, []*result.Error) {
	var d decoder
	m := decodeRoot(root, &d)
	v := validator{config: m.Config, root: root}
	v.validate()
	if problems := append(d.problems, v.problems...); len(problems) > 0 {
		return nil, sortProblems(problems)
	}
	return m, nil
}

// checkSchema reports unknown keys and wrong types in one file. Checking each
// file by itself also finds errors in values that a later file overrides.
func checkSchema(tree *node) []*result.Error {
	var d decoder
	d.decode(tree, "", reflect.ValueOf(&Config{}).Elem())
	return d.problems
}

// checkFileSet checks the number, names and sizes of the files. They must be
// sorted by name.
func checkFileSet(files []File) []*result.Error {
	if len(files) > MaxFiles {
		e := result.New(result.TooManyFiles, "%d files; the limit is %d", len(files), MaxFiles)
		e.Remedy = "merge some files"
		return []*result.Error{e}
	}
	var problems []*result.Error
	total := 0
	for i, f := range files {
		total += len(f.Content)
		if reason := nameProblem(f.Name); reason != "" {
			problems = append(problems, position{file: f.Name}.newError(result.BadValue, "", "rename the file", "%s", reason))
		}
		if i > 0 && files[i-1].Name == f.Name {
			problems = append(problems, position{file: f.Name}.newError(result.BadValue, "", "keep one of them", "duplicate file name"))
		}
	}
	if total > MaxTotalBytes {
		e := result.New(result.FileTooLarge, "the files have %d bytes in total; the limit is %d", total, MaxTotalBytes)
		e.Remedy = "remove unused configuration"
		problems = append(problems, e)
	}
	return problems
}

// nameProblem returns why a file name is invalid, or "".
func nameProblem(name string) string {
	switch {
	case name == "" || name != path.Base(name) || strings.ContainsAny(name, "\\\x00\n\r"):
		return "the name is not a base name"
	case len(name) > maxNameBytes:
		return "the name is longer than " + strconv.Itoa(maxNameBytes) + " bytes"
	case !IsConfigName(name):
		return "the name does not end in .yaml or .yml, or is that of a hidden file"
	}
	return ""
}

// IsConfigName reports whether name is that of a configuration file: it ends in
// .yaml or .yml, which excludes backups of editors, and does not start with "."
// (hidden files) or "#".
func IsConfigName(name string) bool {
	if strings.HasPrefix(name, ".") || strings.HasPrefix(name, "#") {
		return false
	}
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}

// collectLocations records the location of each scalar, list and empty map.
func collectLocations(n *node, path string, locations map[string]string) {
	if n.kind != mapNode || (len(n.keys) == 0 && path != "") {
		locations[path] = n.file + ":" + strconv.Itoa(n.line)
		return
	}
	for _, key := range n.keys {
		if child := n.fields[key]; child != nil {
			collectLocations(child, joinPath(path, key), locations)
		}
	}
}

func sortProblems(problems []*result.Error) []*result.Error {
	slices.SortStableFunc(problems, func(a, b *result.Error) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Code, b.Code), cmp.Compare(a.Detail, b.Detail))
	})
	if len(problems) > maxProblems {
		omitted := result.New(result.FileSyntax, "%d further problems are not listed", len(problems)-maxProblems)
		problems = append(problems[:maxProblems:maxProblems], omitted)
	}
	return problems
}
