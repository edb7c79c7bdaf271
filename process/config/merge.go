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

// Limits on what the folder may hold.
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
	// Name is the file's name without a folder.
	Name    string
	Content []byte
}

// Merged is a valid configuration with the place that each value came from.
type Merged struct {
	Config *Config
	// Origins maps the dotted path of each value that a file gives to
	// "file:line". A value that is missing here is a default.
	Origins map[string]string
}

// Merge merges files in the byte order of their names and validates the
// whole. It returns every problem found, in the order of file and line, and a
// nil Merged when there is one. Equal files give an equal result on every VM.
func Merge(files []File) (*Merged, []*result.Error) {
	return new(Merger).Merge(files)
}

// Merger merges as Merge does and keeps the parsed files of the last call, so
// that a change of one file costs the parsing of that file only. It is not
// safe for concurrent use.
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

// Merge merges and validates files; see the function Merge.
func (m *Merger) Merge(files []File) (*Merged, []*result.Error) {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	if problems := checkSet(files); len(problems) > 0 {
		return nil, sortProblems(problems)
	}
	before := m.parsed
	m.parsed = make(map[parsedKey]parsedFile, len(files))
	root := newRoot()
	var problems []*result.Error
	for _, f := range files {
		key := parsedKey{name: f.Name, digest: manifest.Sum(f.Content)}
		parsed, ok := before[key]
		if !ok {
			parsed = readTree(f)
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
	return finish(root)
}

// MergeAccepted merges files that were accepted before, perhaps by a release
// with other rules. What this release doesn't know is passed over, so that an
// accepted configuration stays in force.
func (m *Merger) MergeAccepted(files []File) *Merged {
	if merged, problems := m.Merge(files); len(problems) == 0 {
		return merged
	}
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	root := newRoot()
	for _, f := range files {
		if tree, problems := parseFile(f); len(problems) == 0 {
			root = mergeNodes(root, tree)
		}
	}
	return decodeRoot(root, &decoder{})
}

// readTree parses one file and checks it against the schema.
func readTree(f File) parsedFile {
	tree, problems := parseFile(f)
	if len(problems) == 0 {
		problems = checkSchema(tree)
	}
	return parsedFile{tree: tree, problems: problems}
}

func newRoot() *node {
	return &node{kind: mapNode, merged: true, fields: make(map[string]*node), places: make(map[string]place)}
}

func decodeRoot(root *node, d *decoder) *Merged {
	m := &Merged{Config: newConfig(), Origins: map[string]string{}}
	d.decode(root, "", reflect.ValueOf(m.Config).Elem())
	m.Config.setServiceDefaults()
	gatherOrigins(root, "", m.Origins)
	return m
}

// finish decodes and validates a merged tree.
func finish(root *node) (*Merged, []*result.Error) {
	var d decoder
	m := decodeRoot(root, &d)
	v := validator{config: m.Config, root: root}
	v.validate()
	if problems := append(d.problems, v.problems...); len(problems) > 0 {
		return nil, sortProblems(problems)
	}
	return m, nil
}

// checkSchema refuses unknown keys and wrong types in one file, also where a
// later file replaces the value.
func checkSchema(tree *node) []*result.Error {
	var d decoder
	d.decode(tree, "", reflect.ValueOf(&Config{}).Elem())
	return d.problems
}

// checkSet refuses a set of files by its names and sizes.
func checkSet(files []File) []*result.Error {
	if len(files) > MaxFiles {
		e := result.New(result.TooManyFiles, "%d files; the limit is %d", len(files), MaxFiles)
		e.Remedy = "merge some files"
		return []*result.Error{e}
	}
	var problems []*result.Error
	total := 0
	for i, f := range files {
		total += len(f.Content)
		if why := nameProblem(f.Name); why != "" {
			problems = append(problems, place{file: f.Name}.refuse(result.BadValue, "", "rename the file", "%s", why))
		}
		if i > 0 && files[i-1].Name == f.Name {
			problems = append(problems, place{file: f.Name}.refuse(result.BadValue, "", "keep one of them", "the file stands twice"))
		}
	}
	if total > MaxTotalBytes {
		e := result.New(result.FileTooLarge, "all files together have %d bytes; the limit is %d", total, MaxTotalBytes)
		e.Remedy = "remove what is no longer needed"
		problems = append(problems, e)
	}
	return problems
}

func nameProblem(name string) string {
	switch {
	case name == "" || name != path.Base(name) || strings.ContainsAny(name, "\\\x00\n\r"):
		return "the name is no plain file name"
	case len(name) > maxNameBytes:
		return "the name has more than " + strconv.Itoa(maxNameBytes) + " bytes"
	case !IsConfigName(name):
		return "the name does not end in .yaml or .yml, or marks a hidden file"
	}
	return ""
}

// IsConfigName reports whether a file of this name belongs to the
// configuration. Hidden files (leading dot) and names that do not end in
// .yaml or .yml, such as editors' backups, do not.
func IsConfigName(name string) bool {
	if strings.HasPrefix(name, ".") || strings.HasPrefix(name, "#") {
		return false
	}
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}

// gatherOrigins notes the place of each scalar and list.
func gatherOrigins(n *node, path string, origins map[string]string) {
	if n.kind != mapNode || (len(n.keys) == 0 && path != "") {
		origins[path] = n.file + ":" + strconv.Itoa(n.line)
		return
	}
	for _, key := range n.keys {
		if child := n.fields[key]; child != nil {
			gatherOrigins(child, join(path, key), origins)
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
		more := result.New(result.FileSyntax, "%d further problems are not listed", len(problems)-maxProblems)
		problems = append(problems[:maxProblems:maxProblems], more)
	}
	return problems
}
