package trace

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the generated traces to testdata")

func tracePath(name string) string { return filepath.Join("testdata", name+".jsonl") }

// Guards against traces in testdata that differ from those that the generator
// produces, and against traces that change when they are read and written.
func TestGenerated(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, err := Generate(name)
			is.NoErr(err)
			var out bytes.Buffer
			is.NoErr(Write(&out, g))
			if *update {
				is.NoErr(os.WriteFile(tracePath(name), out.Bytes(), 0o644))
			}
			data, err := os.ReadFile(tracePath(name))
			is.NoErr(err)
			is.True(bytes.Equal(data, out.Bytes())) // run go test -run TestGenerated -update, or undo the change
			back, err := Read(bytes.NewReader(data))
			is.NoErr(err)
			var again bytes.Buffer
			is.NoErr(Write(&again, back))
			is.Equal(again.Bytes(), data)
		})
	}
}

const smallTrace = `{"kind":"trace","name":"tiny","user":"x","seed":1,"length":60000,"instances":2,"urgent":"name","long":"sheet","weight":0.5}
{"kind":"rack","name":"a-r1","domain":"a","workers":2,"gpus":8,"cores":130,"memory":250}
{"kind":"account","name":"asha","weight":1,"guarantees":[{"shape":"1x4@worker","count":1}]}
{"kind":"service","name":"badges","servers":1,"slots":2,"connections":6}
{"kind":"job","at":1000,"id":"p1","account":"asha","type":"proof","shape":"1x2@worker","run":5000,"declared":5000,"outcome":"done"}
{"kind":"expect","measure":"undone","most":0}
`

// Guards against invalid lines that the reader accepts, and against errors that
// name the wrong line or field.
func TestReadErrors(t *testing.T) {
	tests := []struct {
		name, old, new string
		line           int
		field          string
	}{
		{"no head", `"kind":"trace"`, `"kind":"rack"`, 1, "kind"},
		{"unknown kind", `"kind":"service"`, `"kind":"servis"`, 4, "kind"},
		{"unknown field", `"declared"`, `"guess"`, 5, ""},
		{"wrong type", `"run":5000`, `"run":"5 s"`, 5, "run"},
		{"not JSON", `{"kind":"account"`, `{kind`, 3, ""},
		{"bad shape", `1x2@worker`, `1x2@row`, 5, "shape"},
		{"unknown account", `"account":"asha"`, `"account":"ravi"`, 5, "account"},
		{"after the end", `"at":1000`, `"at":70000`, 5, "at"},
		{"no run time", `"run":5000`, `"run":0`, 5, "run"},
		{"no bound", `,"most":0`, ``, 6, "most"},
		{"empty", smallTrace, "", 0, ""},
		{"long line", `"name":"badges"`, `"name":"` + strings.Repeat("x", MaxLineBytes) + `"`, 4, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read(strings.NewReader(strings.Replace(smallTrace, tt.old, tt.new, 1)))
			var le *LineError
			is.True(errors.As(err, &le))
			is.Equal(le.Line, tt.line)
			is.Equal(le.Field, tt.field)
		})
	}
	_, err := ReadFile("testdata/none.jsonl")
	var fe *FileError
	is.New(t).True(errors.As(err, &fe))
}

// Guards against panics of the reader on any input, errors of another type than
// *LineError, and accepted traces that change when they are written and read
// again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(smallTrace))
	for _, line := range strings.Split(smallTrace, "\n") {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		tr, err := Read(bytes.NewReader(data))
		if err != nil {
			var le *LineError
			if !errors.As(err, &le) {
				t.Fatalf("error without a type: %v", err)
			}
			return
		}
		var once, twice bytes.Buffer
		if err := Write(&once, tr); err != nil {
			t.Fatal(err)
		}
		back, err := Read(bytes.NewReader(once.Bytes()))
		if err != nil {
			t.Fatalf("written trace is refused: %v", err)
		}
		if err := Write(&twice, back); err != nil || !bytes.Equal(once.Bytes(), twice.Bytes()) {
			t.Fatalf("second writing differs: %v", err)
		}
	})
}

// Guards against a baseline that loses jobs or requests, which would make the
// comparison with the product meaningless.
func TestNaive(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr, err := ReadFile(tracePath(name))
			is.NoErr(err)
			s := runNaive(tr)
			for _, j := range tr.Jobs {
				is.True(s.jobEnds[j.ID] != "") // every job ends
			}
			for _, r := range tr.expandRequests() {
				is.True(s.requestOutcomes[r.ID] != "") // every request ends
			}
			t.Logf("%s: fragmentation %.3f, %s mean %.0f s, %s p99 %d ms, end %d s", name, s.fragmentation.mean(), tr.Head.Long,
				s.completionTimes[tr.Head.Long].Mean()/1000, tr.Head.Urgent, s.completionTimes[tr.Head.Urgent].ValueAtQuantile(99), s.endedAt/1000)
		})
	}
}
