package quarantine

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// maxAge bounds the ages in messages. Nothing older counts.
const maxAge = time.Hour

// ToProto returns the message to send to another host, nil if it has no content.
func (m *Message) ToProto(now time.Time) *apiv1.QuarantineNews {
	if m.Empty() {
		return nil
	}
	out := &apiv1.QuarantineNews{}
	for _, l := range m.Losses {
		loss := &apiv1.ServerLoss{Server: l.Server.Hash, BornMs: l.Server.StartMS, AgeMs: ageMS(now, l.At), Reporter: l.Reporter, Parts: l.Parts, Lost: uint32(l.Lost), Begun: uint32(l.Begun)}
		for _, r := range l.Requests {
			loss.Requests = append(loss.Requests, r.Request)
			loss.SentBeforeMs = append(loss.SentBeforeMs, uint32(ageMS(l.At, r.At)))
			loss.Copies = append(loss.Copies, uint32(r.Copy))
		}
		out.Losses = append(out.Losses, loss)
	}
	for _, c := range m.Cleared {
		out.Cleared = append(out.Cleared, &apiv1.ClearedSuspect{Suspect: c.Suspect, AgeMs: ageMS(now, c.At)})
	}
	for _, v := range m.Verdicts {
		out.Verdicts = append(out.Verdicts, v.ToProto(now))
	}
	return out
}

// MessageFromProto returns a message of another host.
func MessageFromProto(now time.Time, m *apiv1.QuarantineNews) Message {
	var out Message
	for _, l := range m.GetLosses() {
		loss := Loss{
			Server: Server{Hash: l.GetServer(), StartMS: l.GetBornMs()}, At: timeOfAge(now, l.GetAgeMs()), Reporter: l.GetReporter(),
			Parts: l.GetParts(), Lost: int(l.GetLost()), Begun: int(l.GetBegun()),
		}
		for i, request := range l.GetRequests() {
			sentBefore := maxAge.Milliseconds() // not stated: no evidence of its own beside an earlier loss
			if i < len(l.GetSentBeforeMs()) {
				sentBefore = int64(l.GetSentBeforeMs()[i])
			}
			sent := Sent{Request: RequestSuspect(request), At: timeOfAge(loss.At, sentBefore)}
			if i < len(l.GetCopies()) && l.GetCopies()[i] <= uint32(FurtherCopy) {
				sent.Copy = Copy(l.GetCopies()[i])
			}
			loss.Requests = append(loss.Requests, sent)
		}
		out.Losses = append(out.Losses, loss)
	}
	for _, c := range m.GetCleared() {
		out.Cleared = append(out.Cleared, Cleared{Suspect: c.GetSuspect(), At: timeOfAge(now, c.GetAgeMs())})
	}
	for _, v := range m.GetVerdicts() {
		out.Verdicts = append(out.Verdicts, VerdictFromProto(now, v))
	}
	return out
}

// ToProto returns the verdict to send to another host.
func (v *Verdict) ToProto(now time.Time) *apiv1.QuarantineVerdict {
	out := &apiv1.QuarantineVerdict{
		Suspect: v.Suspect, Generation: v.Generation, State: uint32(v.State), AgeMs: ageMS(now, v.Since), TermMs: v.Term.Milliseconds(),
		Losses: uint32(v.Losses), Hosts: uint32(v.Hosts), Companions: v.Companions,
	}
	if !v.TrialAt.IsZero() {
		out.TrialAgeMs = ageMS(now, v.TrialAt) + 1
	}
	return out
}

// VerdictFromProto returns a verdict of another host.
func VerdictFromProto(now time.Time, m *apiv1.QuarantineVerdict) Verdict {
	v := Verdict{
		Suspect: m.GetSuspect(), Generation: m.GetGeneration(), State: State(min(m.GetState(), 1<<8-1)), Since: timeOfAge(now, m.GetAgeMs()),
		Term: time.Duration(min(max(m.GetTermMs(), 0), maxTerm.Milliseconds())) * time.Millisecond, Losses: int(m.GetLosses()), Hosts: int(m.GetHosts()),
		Companions: m.GetCompanions(),
	}
	if m.GetTrialAgeMs() > 0 {
		v.TrialAt = timeOfAge(now, m.GetTrialAgeMs()-1)
	}
	return v
}

func ageMS(now, at time.Time) int64 {
	return min(max(now.Sub(at), 0), maxAge).Milliseconds()
}

func timeOfAge(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMS, 0), maxAge.Milliseconds())) * time.Millisecond)
}
