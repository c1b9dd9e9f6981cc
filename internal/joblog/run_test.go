package joblog

import (
	"fmt"
	"testing"
	"time"
)

// ordered returns a line of an instance about attempt 1 of a run that it has ordered.
func ordered(ms int, instance, event, server, rest string) string {
	return byInstance(instance, line(ms, event, fmt.Sprintf(`,"step":0,"task":3,"attempt":1,"server":%q,"fence":8,"boot_ms":500%s`, server, rest)))
}

func byInstance(instance, text string) string {
	return text[:len(text)-1] + fmt.Sprintf(`,"instance":%q}`, instance)
}

// TestRunsThatMayOverlap checks which pairs are shown, and why.
func TestRunsThatMayOverlap(t *testing.T) {
	second := byInstance("n2", line(500, "job-ended", `,"runs":[{"step":0,"task":3,"attempt":1,"server":"s2","fence":16,"since_sent_ms":400,"since_over_ms":0,"conclusion":"listed","end":"done"}]`))
	lost := func(conclusion string) string {
		return ordered(90, "n1", "run-lost", "s1", `,"since_sent_ms":80,"since_over_ms":0,"conclusion":"`+conclusion+`"`)
	}
	for name, c := range map[string]struct {
		lines []string
		want  OverlapKind // none if empty
		gapMs float64
	}{
		"stopped only, as its job was given up":                           {[]string{byInstance("n1", line(90, "job-ended", `,"runs":[{"task":3,"attempt":1,"server":"s1","fence":8,"since_sent_ms":80,"since_stop_ms":0}]`)), second}, OverlapNoEnd, 0},
		"end known too late":                                              {[]string{ordered(130, "n1", "run-ended", "s1", `,"since_sent_ms":120,"since_over_ms":0,"conclusion":"absent"`), second}, OverlapBeforeEnd, -30},
		"end listed in time":                                              {[]string{ordered(90, "n1", "run-ended", "s1", `,"since_sent_ms":80,"since_over_ms":0,"conclusion":"listed","end":"stopped"`), second}, "", 0},
		"gone with the server's life":                                     {[]string{lost("server-restarted"), second}, OverlapInferred, 10},
		"lease taken for expired":                                         {[]string{lost("lease-expired"), second}, OverlapInferred, 10},
		"waits too short":                                                 {[]string{ordered(90, "n1", "run-lost", "s1", `,"since_sent_ms":80,"since_over_ms":0,"conclusion":"server-lost","wait_ms":200`), second}, OverlapBeforeEnd, -190},
		"never sent":                                                      {[]string{lost("not-sent"), second}, "", 0},
		"of another task":                                                 {[]string{byInstance("n1", line(90, "run-lost", `,"task":4,"attempt":1,"server":"s1","fence":8,"since_sent_ms":80,"since_over_ms":0,"conclusion":"absent"`)), second}, "", 0},
		"stopped, then listed by another line":                            {[]string{byInstance("n1", line(80, "job-ended", `,"runs":[{"task":3,"attempt":1,"server":"s1","fence":8,"since_sent_ms":70,"since_stop_ms":0}]`)), ordered(90, "n1", "run-ended", "s1", `,"since_sent_ms":80,"since_over_ms":0,"conclusion":"listed","end":"stopped"`), second}, "", 0},
		"of a killed owner, found by the next":                            {[]string{byInstance("n3", line(50, "foreign-run", `,"task":3,"attempt":1,"server":"s1"`)), second}, OverlapNoEnd, 0},
		"of a killed owner, its end listed":                               {[]string{byInstance("n3", line(50, "foreign-run", `,"task":3,"attempt":1,"server":"s1"`)), byInstance("n3", line(95, "run-ended", `,"task":3,"attempt":1,"server":"s1","conclusion":"listed","end":"stopped","since_over_ms":0`)), second}, "", 0},
		"offloaded, its owner reported the end":                           {[]string{byInstance("n1", line(95, "job-ended", `,"runs":[{"task":3,"attempt":1,"peer":"n5","since_sent_ms":80,"since_over_ms":5,"conclusion":"outcome","end":"other"}]`)), second}, "", 0},
		"found running after its lease was taken for expired":             {[]string{lost("lease-expired"), byInstance("n3", line(150, "foreign-run", `,"task":3,"attempt":1,"server":"s1"`)), second}, OverlapSeen, -50},
		"listed to a later owner, after its own owner saw it":             {[]string{ordered(90, "n1", "run-ended", "s1", `,"since_sent_ms":80,"since_over_ms":0,"conclusion":"listed","end":"stopped"`), byInstance("n3", line(150, "run-ended", `,"task":3,"attempt":1,"server":"s1","conclusion":"listed","end":"stopped","since_over_ms":0`)), second}, "", 0},
		"offloaded to the owner of the other run":                         {[]string{byInstance("n1", line(520, "job-ended", `,"runs":[{"task":3,"attempt":1,"peer":"n2","since_sent_ms":421,"since_over_ms":5,"conclusion":"outcome","end":"done"}]`)), second}, "", 0},
		"its server's next owner has the end":                             {[]string{lost("lease-expired"), byInstance("n3", line(95, "run-ended", `,"task":3,"attempt":1,"server":"s1","conclusion":"listed","end":"expired","since_over_ms":0`)), second}, "", 0},
		"offloaded to the owner of the other run, which tried more often": {[]string{byInstance("n1", line(520, "job-ended", `,"runs":[{"task":3,"attempt":2,"peer":"n2","since_sent_ms":421,"since_over_ms":5,"conclusion":"outcome","end":"done"}]`)), second}, "", 0},
		"listed as running by a list that was overtaken":                  {[]string{second, byInstance("n2", line(510, "foreign-run", `,"task":3,"attempt":1,"server":"s2","since_sent_ms":0`))}, "", 0},
		"another line that names the run":                                 {[]string{byInstance("n2", line(300, "server-quarantined", `,"task":3,"attempt":1,"server":"s2"`)), second}, "", 0},
		"offloaded and withdrawn":                                         {[]string{byInstance("n1", line(95, "job-ended", `,"runs":[{"task":3,"attempt":1,"peer":"n5","since_sent_ms":80}]`)), second}, OverlapNoEnd, 0},
		"unanswered, then found to be forbidden":                          {[]string{ordered(30, "n1", "run-unanswered", "s1", `,"since_sent_ms":20`), lost("absent"), second}, OverlapInferred, 10},
	} {
		runs := read(t, c.lines...).Runs("j1")
		got := Overlaps(runs)
		if c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || got[0].Kind != c.want) {
			t.Errorf("%s: %+v of %+v, want %q", name, got, runs, c.want)
			continue
		}
		if want := time.Duration(c.gapMs * float64(time.Millisecond)); len(got) == 1 && got[0].Gap != want {
			t.Errorf("%s: gap %v, want %v", name, got[0].Gap, want)
		}
	}
}

// TestRunsFromLines checks that the lines about one run make one run, with who ordered
// it and who found it.
func TestRunsFromLines(t *testing.T) {
	runs := read(t,
		ordered(10, "n1", "run-started", "s1", `,"since_sent_ms":0`),
		ordered(30, "n1", "run-unanswered", "s1", `,"since_sent_ms":20`),
		byInstance("n3", line(50, "foreign-run", `,"task":3,"attempt":1,"server":"s1"`)),
		ordered(60, "n1", "run-lost", "s1", `,"since_sent_ms":50,"since_over_ms":0,"conclusion":"server-lost","wait_ms":1100`),
		byInstance("n3", line(70, "run-ended", `,"task":3,"attempt":1,"server":"s1","conclusion":"listed","end":"stopped","since_over_ms":0`)),
		ordered(900, "n1", "run-started", "s1", `,"since_sent_ms":0`), // the same names, as the job was submitted again
	).Runs("j1")
	if len(runs) != 2 {
		t.Fatalf("%d runs, want 2: %+v", len(runs), runs)
	}
	r := runs[0]
	if r.Instance != "n1" || r.SeenBy != "n3" || r.Fence != 8 || r.BootMs != 500 || r.Conclusion != "server-lost" || r.EndAt().Sub(r.SentAt) != 1150*time.Millisecond || r.ListedAt.Sub(r.SentAt) != 60*time.Millisecond {
		t.Errorf("%+v", r)
	}
}
