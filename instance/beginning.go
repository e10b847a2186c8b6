package instance

import "time"

// When a back end began, told from its first reports. After a loss of power a back end and its agent start at
// about the same time. The agent cannot have watched the begin then, and what it does not know may be held all the same: but a back
// end that has only just started can have got no flows from an agent of before, since that agent would have had to find it, end,
// and be started again in the meantime. So the first reports of a life are not acknowledged; the back end then repeats
// them after 30 ms, and twice as long each time. Who is still at these when an agent first hears it, is younger than any
// agent takes to end and start again.

const (
	// earlyReports is the last sequence of a report that is not acknowledged. The fourth report comes 0.2 s after the first, the fifth
	// 0.25 s later (measured): an agent that starts beside its back end hears the third or the fourth first, and
	// one that is killed and started again takes 0.5 s.
	earlyReports = 4
	// nobodyTime is how long every health check must be refused before it is taken for proved that no instance runs: a
	// back end that runs listens at its address, also while it leaves, fails, or says falsely that it is ill (seen in 2,500 checks of
	// such ones). That is three checks; one or two could be of a moment in which it has not opened its address yet.
	nobodyTime = 2 * CheckInterval
)

// repeatTime is the longest time between two early reports: the fifth comes 0.23 s after the fourth (measured). A back end
// that repeats its reports more slowly may be older than an agent takes to end and start again.
const repeatTime = 300 * time.Millisecond

// beginning is what is known of the first reports of the latest life that has reported.
type beginning struct {
	life   Life
	first  uint64 // sequence of the first one heard
	at     time.Time
	latest uint64
	proved bool // the life had just started then
}

// note takes in a report. The one after the first must be the next one: else the first was an old one that came late.
func (b *beginning) note(now time.Time, report Report) {
	if report.Life() != b.life || b.first == 0 {
		*b = beginning{life: report.Life(), first: report.Sequence, at: now, latest: report.Sequence}
		return
	}
	if b.latest == b.first && report.Sequence > b.latest {
		b.proved = b.first <= earlyReports && report.Sequence == b.first+1 && now.Sub(b.at) <= repeatTime
	}
	b.latest = max(b.latest, report.Sequence)
}

// proves says whether the life had just started when it was first heard.
func (b *beginning) proves(life Life) bool { return b.proved && b.life == life && life.ID != "" }

// IsEarly says whether the report is one of the first of its life, which are not acknowledged, so that they are repeated
// at once. A back end that leaves waits for the acknowledgement.
func (r Report) IsEarly() bool { return !r.Leaving && r.Sequence > 0 && r.Sequence <= earlyReports }

// refusedForLong says whether every health check since the time was refused, for so long that no instance runs.
func refusedForLong(now, since time.Time) bool { return now.Sub(since) >= nobodyTime }
