package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
)

var buildOnce = sync.OnceValues(build)

// Binary builds zinniamast once per test process and returns its path.
func Binary(tb testing.TB) string {
	tb.Helper()
	path, err := buildOnce()
	if err != nil {
		tb.Fatal(err)
	}
	return path
}

func build() (string, error) {
	_, file, _, ok := runtime.Caller(0)
	if !ok {
		return "", fmt.Errorf("processtest: cannot determine the source directory")
	}
	directory, err := os.MkdirTemp("", "zinniamast-processtest-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "zinniamast")
	build := exec.Command("go", "build", "-o", path, "./cmd/zinniamast")
	build.Dir = filepath.Dir(filepath.Dir(file))
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("processtest: go build: %w\n%s", err, out)
	}
	return path, nil
}

// Clean removes the binary that Binary built. TestMain calls it after the tests.
func Clean() {
	if path, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
}
