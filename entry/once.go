package entry

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
)

const (
	// onceCandidates is how many agents a claim names.
	onceCandidates = 3
	// onceGrace is how long after its budget the result of a claimed call is
	// still awaited, so that its outcome is recorded.
	onceGrace = 2 * time.Second
	// finishBound bounds how long a caller waits for the record of its outcome.
	finishBound = 500 * time.Millisecond
	// claimTries bounds how often a request claims again after it has proved
	// that an earlier holder's call never ran, or another has proved that of its
	// own.
	claimTries = 4
	// holderPatience is how long a claim of another request is left alone before
	// its agents are asked: a holder that lives hands its call over within a
	// fraction of it. holderPolls is how often the claim is looked at meanwhile.
	holderPatience = 300 * time.Millisecond
	holderPolls    = 6
)

// executeOnce runs a stage that may not be repeated: it is claimed before it is
// sent, and handed to another agent only after the one before has proved that
// it did not run. A call that was handed over goes on when its callers leave.
func (s *stageRun) executeOnce() link.RunResult {
	if s.e.o.Claims == nil {
		return refused(contract.CodeClaimUnavailable, "this entry has no claim store")
	}
	for range claimTries {
		peers, req := s.claimRequest()
		d, err := s.acquirePatiently(&req)
		if claim.Abandoned.Has(err) {
			// This entry was paused while it asked, and another request with the key
			// gave its attempt up: what became of the key is asked anew.
			continue
		}
		if err != nil {
			return refused(contract.CodeClaimUnavailable, "the call could not be claimed")
		}
		switch d.State {
		case claim.Granted:
			res, settled := s.runClaimed(req, peers)
			if !settled {
				return res
			}
			// Another request has proved that this call never ran, and has or had
			// the claim since: its outcome is this request's.
			continue
		case claim.Finished:
			return s.replay(d.Outcome)
		case claim.KeyReused:
			return refused(contract.CodeKeyReused, "the idempotency key was used for another call")
		}
		res, again := s.settleHeld(req, d)
		if !again {
			return res
		}
	}
	return unknownOutcome(contract.CodeInProgress, "the key is being used by another request")
}

// acquirePatiently asks for the claim, and asks again for a while as long as the
// same request of another holds it: settling the call of an entry that lives and
// is about to send it would take the call from it. Each try has an attempt id
// of its own, as one that was answered is not granted later.
func (s *stageRun) acquirePatiently(req *claim.Request) (claim.Decision, error) {
	d, err := s.acquire(*req)
	holder := d.Attempt
	for range holderPolls {
		if err != nil || d.State != claim.Held || d.Attempt != holder || s.f.ctx.Err() != nil {
			return d, err
		}
		s.pause(holderPatience / holderPolls)
		req.Attempt = contract.NewAttemptID()
		d, err = s.acquire(*req)
	}
	return d, err
}

// pause waits unless the run ends before.
func (s *stageRun) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.f.ctx.Done():
	case <-t.C:
	}
}

// acquire asks for the claim within the stage's budget.
func (s *stageRun) acquire(req claim.Request) (claim.Decision, error) {
	ctx, cancel := context.WithTimeout(s.f.ctx, s.budget)
	defer cancel()
	return s.e.o.Claims.Acquire(ctx, req)
}

// claimRequest picks the agents that the call may go to, in order.
func (s *stageRun) claimRequest() ([]*peer, claim.Request) {
	req := claim.Request{
		Organisation: s.req.Organisation,
		Key:          s.req.Key + "/" + s.stage.Name,
		Fingerprint:  s.f.digest + "/" + s.stage.Name,
		Attempt:      contract.NewAttemptID(),
	}
	var peers []*peer
	tried := make(map[string]bool)
	ctx, cancel := context.WithTimeout(s.f.ctx, s.budget)
	defer cancel()
	for range onceCandidates {
		ps, candidates := s.e.awaitEligible(ctx, s.stage.Pool, s.stage.Model, tried)
		if len(candidates) == 0 {
			break
		}
		p := ps[s.e.o.Chooser.Choose(Query{}, candidates)]
		tried[p.instance.Name] = true
		l := p.current()
		if l == nil {
			continue
		}
		peers = append(peers, p)
		req.Candidates = append(req.Candidates, claim.Candidate{
			Agent: p.instance.Name, Addr: p.instance.AgentAddress, Boot: l.Peer().AgentBoot,
		})
	}
	return peers, req
}

// runClaimed hands the claimed call to its candidates in turn. It reports
// settled when an agent closed the call before it came, as another request had
// asked: nothing ran, and the claim is another's.
func (s *stageRun) runClaimed(req claim.Request, peers []*peer) (res link.RunResult, settled bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.f.ctx), s.f.left()+onceGrace)
	defer cancel()
	res = refused(contract.CodeNoEndpoint, "pool "+s.stage.Pool+" has no endpoint for new work")
	handed := s.handOver()
	for i, p := range peers {
		if !handed || s.f.ctx.Err() != nil {
			break
		}
		s.boot = req.Candidates[i].Boot
		s.note(func(r *StageReport) { r.Attempts++; r.Endpoint = p.instance.Name })
		res = s.settle(s.try(ctx, p, kindOf(i), req.Attempt, newTokenBuffer()))
		if res.Code == "" || res.Run != contract.NotRun {
			return s.finish(ctx, req, res), false
		}
		if res.Code == contract.CodeCancelled && s.f.ctx.Err() == nil {
			return res, true
		}
		if !retryable(res.Code) {
			break
		}
	}
	s.note(func(r *StageReport) { r.Run = contract.NotRun })
	s.e.background(func(ctx context.Context) { s.release(ctx, req) })
	return res, false
}

// release gives up the claim of a call that never ran. Where that fails, the
// claim stays held until its agents are asked.
func (s *stageRun) release(ctx context.Context, req claim.Request) {
	ctx, cancel := context.WithTimeout(ctx, finishBound)
	defer cancel()
	_ = s.e.o.Claims.Release(ctx, req)
}

func kindOf(i int) string {
	if i == 0 {
		return "first"
	}
	return "redirect"
}

// finish records the outcome before the caller hears of it. Until the store
// has taken the record, a repeated request learns the outcome from the agent.
func (s *stageRun) finish(ctx context.Context, req claim.Request, res link.RunResult) link.RunResult {
	s.note(func(r *StageReport) { r.Run = res.Run })
	o := claim.Outcome{Run: res.Run, Code: res.Code, Detail: res.Detail, Body: res.Output.Body}
	s.record(ctx, req, o)
	if res.Run == contract.MayHaveRun {
		res.Code = contract.CodeOutcomeUnknown
	}
	return res
}

func (s *stageRun) record(ctx context.Context, req claim.Request, o claim.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, finishBound)
	defer cancel()
	_ = s.e.o.Claims.Finish(ctx, req, o)
}

// replay answers with the outcome of an earlier request.
func (s *stageRun) replay(o *claim.Outcome) link.RunResult {
	s.note(func(r *StageReport) { r.Replayed = true })
	if o.Run == contract.MayHaveRun {
		return unknownOutcome(contract.CodeOutcomeUnknown, "an earlier request with this key may have run")
	}
	return link.RunResult{Run: o.Run, Code: o.Code, Detail: o.Detail, Output: pipeline.Output{Body: o.Body}}
}

// settleHeld asks the agents of another holder what became of its call. Where
// all prove that it never ran and never will, the claim is freed and may be
// asked for again.
func (s *stageRun) settleHeld(req claim.Request, d claim.Decision) (res link.RunResult, again bool) {
	ctx, cancel := context.WithTimeout(s.f.ctx, s.budget)
	defer cancel()
	held := req
	held.Attempt, held.Candidates = d.Attempt, d.Candidates
	proved := len(d.Candidates) > 0
	running := false
	for _, c := range d.Candidates {
		st, err := s.settleAt(ctx, c, d.Attempt)
		switch {
		case err != nil || st.State == link.AttemptUnknown:
			proved = false
		case st.State == link.AttemptRunning:
			running = true
		case st.State == link.AttemptFinished && st.Result != nil && st.Result.Run != contract.NotRun:
			return s.adopt(ctx, held, *st.Result), false
		}
	}
	if running {
		return unknownOutcome(contract.CodeInProgress, "an earlier request with this key is running"), false
	}
	if !proved {
		return unknownOutcome(contract.CodeOutcomeUnknown, "an earlier request with this key may have run"), false
	}
	if err := s.e.o.Claims.Release(ctx, held); err != nil {
		return refused(contract.CodeClaimUnavailable, "the claim of an earlier call could not be freed"), false
	}
	return link.RunResult{}, true
}

// adopt records the outcome that the holder did not record, and replays it.
func (s *stageRun) adopt(ctx context.Context, held claim.Request, res link.RunResult) link.RunResult {
	o := claim.Outcome{Run: res.Run, Code: res.Code, Detail: res.Detail, Body: res.Output.Body}
	s.record(context.WithoutCancel(ctx), held, o)
	return s.replay(&o)
}

// settleAt asks one agent. One of another boot than the call was meant for
// answers that it does not know.
func (s *stageRun) settleAt(ctx context.Context, c claim.Candidate, id contract.AttemptID) (link.SettleResult, error) {
	l, err := s.e.calls.linkTo(ctx, c.Addr)
	if err != nil {
		return link.SettleResult{}, err
	}
	return l.Settle(ctx, link.SettleParams{Attempt: id, AgentBoot: c.Boot})
}

func refused(code contract.Code, detail string) link.RunResult {
	return link.RunResult{Run: contract.NotRun, Code: code, Detail: detail}
}

func unknownOutcome(code contract.Code, detail string) link.RunResult {
	return link.RunResult{Run: contract.MayHaveRun, Code: code, Detail: detail}
}
