package folder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingpost/waxwingpost/process/config"
	"github.com/waxwingpost/waxwingpost/process/result"
	"github.com/waxwingpost/waxwingpost/version/manifest"
)

func (v *vm) wantRevision(want uint64) {
	v.t.Helper()
	if _, revision := v.machine.Config(); revision != want {
		v.t.Errorf("%s: revision %d, want %d", v.name, revision, want)
	}
}

func (v *vm) wantKept(c ChangeStatus, content string) {
	v.t.Helper()
	if kept, err := os.ReadFile(c.KeptPath); err != nil || string(kept) != content {
		v.t.Errorf("%s: kept %q in %q: %v", v.name, kept, c.KeptPath, err)
	}
}

func TestRefusedEditStaysUntilItIsCorrected(t *testing.T) {
	one := newVM(t, &cluster{}, "entry-1")
	one.write("a.yaml", contentA)
	one.run()
	one.write("a.yaml", "priorities: {a: many}\n")
	one.run()
	refused := one.wantChange("a.yaml", decisionRefused, result.WrongType)
	if !strings.Contains(refused.Detail, "a.yaml:1:17") {
		t.Errorf("detail %q", refused.Detail)
	}
	one.wantFile("a.yaml", "priorities: {a: many}\n")
	one.wantRevision(1)
	proposed := len(one.cluster.log)
	for range 5 {
		one.run()
	}
	if len(one.cluster.log) != proposed {
		t.Errorf("a refused edit was proposed %d more times", len(one.cluster.log)-proposed)
	}
	one.write("a.yaml", contentB)
	one.run()
	one.wantChange("a.yaml", decisionAccepted, result.OK)
	one.wantRevision(2)
}

func TestRefusedEditIsReplacedByNewerAcceptedContent(t *testing.T) {
	c := &cluster{}
	one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
	one.write("a.yaml", contentA)
	one.run()
	two.run()
	one.write("a.yaml", "bogus: 1\n")
	one.run()
	two.write("a.yaml", contentB)
	two.run()
	one.run()
	one.wantFile("a.yaml", contentB)
	one.wantKept(one.wantChange("a.yaml", decisionRefused, result.EditConflict), "bogus: 1\n")
}

func TestRefusedEditIsRetriedWhenItsReferenceExists(t *testing.T) {
	one := newVM(t, &cluster{}, "entry-1")
	one.write("services.yaml", "services: {s: {kind: engine, version: v1}}\n")
	one.run()
	one.wantChange("services.yaml", decisionRefused, result.BrokenReference)
	one.write("versions.yaml", "versions: {v1: {model: m, path: /v1}}\n")
	one.run()
	one.wantChange("services.yaml", decisionAccepted, result.OK)
	// Edits of two files that are only valid together are one change.
	one.write("versions.yaml", "versions: {v2: {model: m, path: /v2}}\n")
	one.run()
	one.wantChange("versions.yaml", decisionRefused, result.BrokenReference)
	one.write("services.yaml", "services: {s: {kind: engine, version: v2}}\n")
	one.run()
	one.wantChange("services.yaml", decisionAccepted, result.OK)
	one.wantChange("versions.yaml", decisionAccepted, result.OK)
	one.wantRevision(2)
	// A removal that breaks a reference is refused and the file restored.
	one.remove("versions.yaml")
	one.run()
	one.wantChange("versions.yaml", decisionRefused, result.BrokenReference)
	one.wantFile("versions.yaml", "versions: {v2: {model: m, path: /v2}}\n")
}

func TestForeignOrOldFolderIsNotProposed(t *testing.T) {
	damage := map[string]func(v *vm){
		"missing": func(v *vm) {
			if err := os.Rename(v.path(), v.path()+".gone"); err != nil {
				v.t.Fatal(err)
			}
		},
		"unmounted": func(v *vm) {
			if err := os.Rename(v.path(), v.path()+".gone"); err != nil {
				v.t.Fatal(err)
			}
			if err := os.Mkdir(v.path(), 0o755); err != nil {
				v.t.Fatal(err)
			}
		},
		"emptied": func(v *vm) {
			v.remove("a.yaml")
			v.remove("b.yaml")
		},
		"marker lost": func(v *vm) {
			v.remove(markerName)
			v.write("a.yaml", contentA)
		},
		"folder of another VM": func(v *vm) {
			v.write(markerName, "another 99\n")
			v.write("a.yaml", contentA)
		},
		"older copy": func(v *vm) {
			v.write(markerName, v.watcher.saved.FolderID+" 1\n")
			v.write("a.yaml", contentA)
			v.remove("b.yaml")
		},
	}
	for name, damageFolder := range damage {
		t.Run(name, func(t *testing.T) {
			c := &cluster{}
			one := newVM(t, c, "entry-1")
			one.write("a.yaml", contentA)
			one.run()
			one.write("b.yaml", "priorities: {b: 1}\n")
			one.write("a.yaml", contentB)
			one.run()
			damageFolder(one)
			one.run()
			if code := one.watcher.Status().Folder.Code; code != int(result.FolderSuspicious) {
				t.Errorf("folder code %d", code)
			}
			one.restart()
			for range 12 {
				one.run()
			}
			one.wantRevision(2)
			if name == "missing" {
				return
			}
			one.wantFile("a.yaml", contentB)
			one.wantFile("b.yaml", "priorities: {b: 1}\n")
			one.write("a.yaml", contentC)
			one.run()
			one.wantChange("a.yaml", decisionAccepted, result.OK)
		})
	}
}

func TestUnusableFilesDoNotBlockOtherFiles(t *testing.T) {
	bad := map[string]struct {
		code result.Code
		make func(path string) error
	}{
		"symlink":   {result.FileNotRegular, func(p string) error { return os.Symlink("a.yaml", p) }},
		"directory": {result.FileNotRegular, func(p string) error { return os.Mkdir(p, 0o755) }},
		"huge": {result.FileTooLarge, func(p string) error {
			return os.WriteFile(p, make([]byte, config.MaxFileBytes+1), 0o600)
		}},
		"not UTF-8": {result.FileNotUTF8, func(p string) error { return os.WriteFile(p, []byte("\xff\xfe"), 0o600) }},
		"empty":     {result.FileSyntax, func(p string) error { return os.WriteFile(p, nil, 0o600) }},
	}
	for name, b := range bad {
		t.Run(name, func(t *testing.T) {
			one := newVM(t, &cluster{}, "entry-1")
			one.write("a.yaml", contentA)
			one.run()
			if err := b.make(one.path("bad.yaml")); err != nil {
				t.Fatal(err)
			}
			one.write("a.yaml", contentB)
			one.run()
			one.wantChange("bad.yaml", decisionRefused, b.code)
			one.wantChange("a.yaml", decisionAccepted, result.OK)
			one.wantRevision(2)
			if err := os.RemoveAll(one.path("bad.yaml")); err != nil {
				t.Fatal(err)
			}
			one.run()
			if c := one.change("bad.yaml"); c.File != "" {
				t.Errorf("status still lists the removed file: %+v", c)
			}
		})
	}
}

func TestThousandFilesAreRefused(t *testing.T) {
	one := newVM(t, &cluster{}, "entry-1")
	one.write("a.yaml", contentA)
	one.run()
	for i := range 1000 {
		one.write(fmt.Sprintf("x%d.yaml", i), "links: {}\n")
	}
	one.run()
	if code := one.watcher.Status().Folder.Code; code != int(result.TooManyFiles) {
		t.Errorf("folder code %d", code)
	}
	one.wantRevision(1)
}

func TestHalfWrittenFileIsNotProposed(t *testing.T) {
	one := newVM(t, &cluster{}, "entry-1")
	ctx := context.Background()
	for i := range 5 {
		one.write("a.yaml", strings.Repeat("#", i+1)+" priorities:\n")
		for range 2 {
			one.watcher.Step(ctx)
			one.clock.Advance(DefaultSettleTime/2 - time.Millisecond)
		}
	}
	if n := len(one.cluster.log); n != 0 {
		t.Errorf("%d proposals of a file that was being written", n)
	}
	one.write("a.yaml", contentA)
	one.run()
	if n := len(one.cluster.log); n != 1 {
		t.Errorf("%d proposals, want 1", n)
	}
}

func TestSameEditOnTwoVMsIsOneRevision(t *testing.T) {
	c := &cluster{loseResults: 1}
	one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
	one.write("a.yaml", contentA)
	one.watcher.Step(context.Background())
	one.clock.Advance(time.Second)
	one.watcher.Step(context.Background())
	one.wantChange("a.yaml", decisionUndecided, result.NotDecided)
	two.write("a.yaml", contentA)
	two.run()
	one.run()
	for _, v := range []*vm{one, two} {
		if got := v.wantChange("a.yaml", decisionAccepted, result.OK); got.Revision != 1 {
			t.Errorf("%s: revision %d", v.name, got.Revision)
		}
		v.wantRevision(1)
	}
}

// TestLateRetryRevertsNothing loses the result of a proposal and lets another VM
// edit the file before the first VM retries after a restart.
func TestLateRetryRevertsNothing(t *testing.T) {
	for _, after := range []string{"edited", "edited back", "removed"} {
		t.Run(after, func(t *testing.T) {
			c := &cluster{}
			one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
			one.write("a.yaml", contentA)
			one.write("z.yaml", "priorities: {z: 1}\n")
			one.run()
			two.run()
			c.lagging = map[any]bool{one.machine: true}
			c.loseResults = 1
			one.write("a.yaml", contentB)
			one.watcher.Step(context.Background())
			one.clock.Advance(time.Second)
			one.watcher.Step(context.Background())
			two.run()
			two.wantFile("a.yaml", contentB)
			want := contentA
			switch after {
			case "edited":
				want = contentC
				two.write("a.yaml", want)
			case "edited back":
				two.write("a.yaml", want)
			case "removed":
				want = ""
				two.remove("a.yaml")
			}
			two.run()
			// A second edit in the folder changes the command of the retry.
			one.write("b.yaml", "priorities: {b: 1}\n")
			one.restart()
			one.run()
			c.lagging = nil
			c.apply()
			one.run()
			two.run()
			one.wantFile("a.yaml", want)
			two.wantFile("a.yaml", want)
			one.wantRevision(4)
		})
	}
}

// TestLostSavedStateWithStaleFolderRevertsNothing: proposals of a VM that lost its
// saved state may repeat commands decided long ago, but must not change any file.
func TestLostSavedStateWithStaleFolderRevertsNothing(t *testing.T) {
	c := &cluster{}
	one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
	one.write("a.yaml", contentA)
	one.write("b.yaml", "priorities: {b: 1}\n")
	one.run()
	one.write("a.yaml", contentC)
	one.run()
	two.run()
	two.write("a.yaml", contentB)
	two.remove("b.yaml")
	two.run()
	if err := os.Remove(filepath.Join(one.root, "data", savedStateName)); err != nil {
		t.Fatal(err)
	}
	one.restart()
	one.run()
	one.wantFile("a.yaml", contentB)
	one.wantFile("b.yaml", "")
	one.wantRevision(3)
	one.wantKept(one.wantChange("a.yaml", decisionRefused, result.EditConflict), contentC)
	two.run()
	two.wantFile("b.yaml", "")
}

func TestEditWithoutQuorumStaysUndecided(t *testing.T) {
	c := &cluster{}
	one := newVM(t, c, "entry-1")
	one.write("a.yaml", contentA)
	one.run()
	c.down = true
	one.write("a.yaml", contentB)
	one.run()
	one.wantChange("a.yaml", decisionUndecided, result.NotDecided)
	one.wantFile("a.yaml", contentB)
	newcomer := newVM(t, c, "entry-2")
	newcomer.write("a.yaml", contentC)
	newcomer.run()
	if code := newcomer.watcher.Status().Folder.Code; code != int(result.NotDecided) {
		t.Errorf("folder code %d", code)
	}
	c.down = false
	one.run()
	one.wantChange("a.yaml", decisionAccepted, result.OK)
	one.wantRevision(2)
}

// TestLaggingVMWritesNoOldContent has a local replica that lags behind an edit
// that was accepted through this VM, also after a restart.
func TestLaggingVMWritesNoOldContent(t *testing.T) {
	c := &cluster{}
	one := newVM(t, c, "entry-1")
	one.write("a.yaml", contentA)
	one.run()
	c.lagging = map[any]bool{one.machine: true}
	one.write("a.yaml", contentB)
	one.run()
	one.wantFile("a.yaml", contentB)
	one.restart()
	one.run()
	one.wantFile("a.yaml", contentB)
	c.lagging = nil
	c.apply()
	one.run()
	one.wantFile("a.yaml", contentB)
	one.wantRevision(2)
}

// TestRemovalOnLaggingVMIsProposed removes a file before the local replica has
// applied the edit that added it.
func TestRemovalOnLaggingVMIsProposed(t *testing.T) {
	c := &cluster{}
	one := newVM(t, c, "entry-1")
	one.write("a.yaml", contentA)
	one.run()
	c.lagging = map[any]bool{one.machine: true}
	one.write("b.yaml", "priorities: {b: 1}\n")
	one.run()
	one.remove("b.yaml")
	one.run()
	c.lagging = nil
	c.apply()
	one.run()
	one.wantFile("b.yaml", "")
	one.wantRevision(3)
}

// TestCrashDuringWriteBack recreates the folder and saved state that a kill at
// each point of a write-back leaves.
func TestCrashDuringWriteBack(t *testing.T) {
	crashes := map[string]func(v *vm){
		"after the intent was saved": func(*vm) {},
		"new file staged":            func(v *vm) { v.write(newPrefix+"a.yaml", contentB) },
		"old file moved": func(v *vm) {
			v.write(newPrefix+"a.yaml", contentB)
			if err := os.Rename(v.path("a.yaml"), v.path(oldPrefix+"a.yaml")); err != nil {
				v.t.Fatal(err)
			}
		},
		"old file moved, operator saved": func(v *vm) {
			if err := os.Rename(v.path("a.yaml"), v.path(oldPrefix+"a.yaml")); err != nil {
				v.t.Fatal(err)
			}
			v.write(oldPrefix+"a.yaml", contentC)
		},
		"new file placed": func(v *vm) { v.write("a.yaml", contentB) },
	}
	for name, crash := range crashes {
		for _, then := range []string{contentB, contentA} {
			t.Run(fmt.Sprintf("%s, then %q", name, then), func(t *testing.T) {
				c := &cluster{}
				one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
				one.write("a.yaml", contentA)
				one.run()
				two.run()
				two.write("a.yaml", contentB)
				two.run()
				one.watcher.saved.PendingWrites["a.yaml"] = manifest.Sum([]byte(contentB))
				one.watcher.save()
				crash(one)
				want := uint64(2)
				if then != contentB {
					want = 3
					two.write("a.yaml", then)
					two.run()
				}
				one.restart()
				one.run()
				one.wantFile("a.yaml", then)
				one.wantRevision(want)
				if strings.Contains(name, "operator") {
					digest := manifest.Sum([]byte(contentC))
					kept := fmt.Sprintf("%s%s/a.yaml.%x", one.path(), keptSuffix, digest[:4])
					one.wantKept(ChangeStatus{KeptPath: kept}, contentC)
				}
			})
		}
	}
}

// TestSaveDuringWriteBackIsNotOverwritten saves a file between scan and write.
func TestSaveDuringWriteBackIsNotOverwritten(t *testing.T) {
	one := newVM(t, &cluster{}, "entry-1")
	one.write("a.yaml", contentA)
	one.run()
	seen := manifest.Sum([]byte(contentA))
	one.write("a.yaml", contentC)
	for _, wr := range []fileWrite{{name: "a.yaml", digest: manifest.Sum([]byte(contentB)), content: []byte(contentB)}, {name: "a.yaml"}} {
		if err := one.watcher.replaceFile(wr, seen); !errors.Is(err, errConcurrentSave) {
			t.Errorf("replaceFile: %v", err)
		}
		one.wantFile("a.yaml", contentC)
	}
	one.run()
	one.wantChange("a.yaml", decisionAccepted, result.OK)
}

func TestWriteBackKeepsTheFilesMode(t *testing.T) {
	c := &cluster{}
	one, two := newVM(t, c, "entry-1"), newVM(t, c, "entry-2")
	one.write("a.yaml", contentA)
	one.run()
	two.run()
	if err := os.Chmod(two.path("a.yaml"), 0o664); err != nil {
		t.Fatal(err)
	}
	one.write("a.yaml", contentB)
	one.run()
	two.run()
	two.wantFile("a.yaml", contentB)
	if info, err := os.Stat(two.path("a.yaml")); err != nil || info.Mode().Perm() != 0o664 {
		t.Errorf("mode %v: %v", info.Mode(), err)
	}
}

func TestRunReactsToFileEvents(t *testing.T) {
	c := &cluster{}
	one := newVM(t, c, "entry-1")
	cfg := Config{Path: one.path(), DataDir: filepath.Join(one.root, "data"), VM: "entry-1", SettleTime: 10 * time.Millisecond, ScanInterval: time.Hour}
	w := New(cfg, c, one.machine, clockwork.NewRealClock(), slog.New(slog.DiscardHandler), tally.NoopScope)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	for _, content := range []string{contentA, contentB} {
		want := one.machine.Changed()
		one.write("a.yaml", content)
		select {
		case <-want:
		case <-ctx.Done():
			t.Fatal("no edit was proposed")
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
