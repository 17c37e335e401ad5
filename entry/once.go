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
	// claimCandidates is the maximum number of agents that a claim names.
	claimCandidates = 3
	// onceGracePeriod is how long after the deadline the result of a claimed call is still
	// awaited, so that its outcome can be recorded.
	onceGracePeriod = 2 * time.Second
	// outcomeRecordTimeout bounds how long a caller waits for its outcome to be recorded.
	outcomeRecordTimeout = 500 * time.Millisecond
	// maxClaimAttempts bounds how often a request tries to claim a call. It tries again
	// after it has proved that an earlier holder's call never ran, or after another request
	// has proved that of its own call.
	maxClaimAttempts = 4
	// holderWait is how long the claim of another request is left alone before its agents
	// are asked: a live holder dispatches its call within a fraction of it.
	// holderPollCount is how often the claim is polled meanwhile.
	holderWait      = 300 * time.Millisecond
	holderPollCount = 6
)

// executeOnce runs a stage that may not be repeated. The call is claimed before it is
// sent, and sent to another agent only after the previous one has proved that it did
// not run. A dispatched call continues when its callers leave.
func (s *stageRun) executeOnce() link.RunResult {
	if s.e.o.Claims == nil {
		return refusedResult(contract.CodeClaimUnavailable, "this entry has no claim store")
	}
	for range maxClaimAttempts {
		peers, req := s.claimRequest()
		d, err := s.acquireOrWait(&req)
		if claim.Abandoned.Has(err) {
			// This entry was paused during the call, and another request with the same
			// key gave this attempt up. Ask again for the state of the key.
			continue
		}
		if err != nil {
			return refusedResult(contract.CodeClaimUnavailable, "the call could not be claimed")
		}
		switch d.State {
		case claim.Granted:
			res, superseded := s.runClaimed(req, peers)
			if !superseded {
				return res
			}
			// Another request has proved that this call never ran, and holds the claim or
			// has held it since. Its outcome is the outcome of this request.
			continue
		case claim.Finished:
			return s.replay(d.Outcome)
		case claim.KeyReused:
			return refusedResult(contract.CodeKeyReused, "the idempotency key was used for another call")
		}
		res, retry := s.settleHeldClaim(req, d)
		if !retry {
			return res
		}
	}
	return unknownOutcome(contract.CodeInProgress, "the key is being used by another request")
}

// acquireOrWait tries to acquire the claim. While the same attempt of another request
// holds it, it polls for up to holderWait: settling the call of a live entry that is
// about to send it would prevent that call. Each try has a new attempt id, because an
// attempt that was answered is not granted later.
func (s *stageRun) acquireOrWait(req *claim.Request) (claim.Decision, error) {
	d, err := s.acquire(*req)
	holder := d.Attempt
	for range holderPollCount {
		if err != nil || d.State != claim.Held || d.Attempt != holder || s.f.ctx.Err() != nil {
			return d, err
		}
		s.wait(holderWait / holderPollCount)
		req.Attempt = contract.NewAttemptID()
		d, err = s.acquire(*req)
	}
	return d, err
}

// wait sleeps for d, or until the run ends.
func (s *stageRun) wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.f.ctx.Done():
	case <-t.C:
	}
}

// acquire tries to acquire the claim within the stage's budget.
func (s *stageRun) acquire(req claim.Request) (claim.Decision, error) {
	ctx, cancel := context.WithTimeout(s.f.ctx, s.budget)
	defer cancel()
	return s.e.o.Claims.Acquire(ctx, req)
}

// claimRequest selects the agents that the call may be sent to, in order, and builds
// the claim.
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
	for range claimCandidates {
		ps, candidates := s.e.awaitEligible(ctx, s.stage.Pool, s.stage.Model, tried)
		if len(candidates) == 0 {
			break
		}
		p := ps[s.e.o.Chooser.Choose(Query{}, candidates)]
		tried[p.instance.Name] = true
		l := p.currentLink()
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

// runClaimed sends the claimed call to its candidates in turn. superseded is true if an
// agent had closed the attempt before it arrived, at the request of another entry. In
// that case nothing ran, and the claim belongs to the other request.
func (s *stageRun) runClaimed(req claim.Request, peers []*peer) (res link.RunResult, superseded bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.f.ctx), s.f.timeLeft()+onceGracePeriod)
	defer cancel()
	res = refusedResult(contract.CodeNoEndpoint, "pool "+s.stage.Pool+" has no endpoint for new work")
	dispatched := s.markDispatched()
	for i, p := range peers {
		if !dispatched || s.f.ctx.Err() != nil {
			break
		}
		s.agentBoot = req.Candidates[i].Boot
		s.updateReport(func(r *StageReport) { r.Attempts++; r.Endpoint = p.instance.Name })
		res = s.recordUsage(s.try(ctx, p, attemptKind(i), req.Attempt, newTokenBuffer()))
		if res.Code == "" || res.Run != contract.NotRun {
			return s.finishClaim(ctx, req, res), false
		}
		if res.Code == contract.CodeCancelled && s.f.ctx.Err() == nil {
			return res, true
		}
		if !retryable(res.Code) {
			break
		}
	}
	s.updateReport(func(r *StageReport) { r.Run = contract.NotRun })
	s.e.background(func(ctx context.Context) { s.releaseClaim(ctx, req) })
	return res, false
}

// releaseClaim releases the claim of a call that never ran. If that fails, the claim
// stays held until another request asks its agents.
func (s *stageRun) releaseClaim(ctx context.Context, req claim.Request) {
	ctx, cancel := context.WithTimeout(ctx, outcomeRecordTimeout)
	defer cancel()
	_ = s.e.o.Claims.Release(ctx, req)
}

func attemptKind(i int) string {
	if i == 0 {
		return "first"
	}
	return "redirect"
}

// finishClaim records the outcome before the caller is answered. Until the store has
// the record, a repeated request gets the outcome from the agent.
func (s *stageRun) finishClaim(ctx context.Context, req claim.Request, res link.RunResult) link.RunResult {
	s.updateReport(func(r *StageReport) { r.Run = res.Run })
	o := claim.Outcome{Run: res.Run, Code: res.Code, Detail: res.Detail, Body: res.Output.Body}
	s.recordOutcome(ctx, req, o)
	if res.Run == contract.MayHaveRun {
		res.Code = contract.CodeOutcomeUnknown
	}
	return res
}

func (s *stageRun) recordOutcome(ctx context.Context, req claim.Request, o claim.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, outcomeRecordTimeout)
	defer cancel()
	_ = s.e.o.Claims.Finish(ctx, req, o)
}

// replay returns the outcome of an earlier request.
func (s *stageRun) replay(o *claim.Outcome) link.RunResult {
	s.updateReport(func(r *StageReport) { r.Replayed = true })
	if o.Run == contract.MayHaveRun {
		return unknownOutcome(contract.CodeOutcomeUnknown, "an earlier request with this key may have run")
	}
	return link.RunResult{Run: o.Run, Code: o.Code, Detail: o.Detail, Output: pipeline.Output{Body: o.Body}}
}

// settleHeldClaim asks the agents of another holder for the state of its call. If all
// prove that it never ran and never will, the claim is released and the caller may try
// to acquire it again.
func (s *stageRun) settleHeldClaim(req claim.Request, d claim.Decision) (res link.RunResult, retry bool) {
	ctx, cancel := context.WithTimeout(s.f.ctx, s.budget)
	defer cancel()
	held := req
	held.Attempt, held.Candidates = d.Attempt, d.Candidates
	provedNotRun := len(d.Candidates) > 0
	running := false
	for _, c := range d.Candidates {
		st, err := s.settleAttempt(ctx, c, d.Attempt)
		switch {
		case err != nil || st.State == link.AttemptUnknown:
			provedNotRun = false
		case st.State == link.AttemptRunning:
			running = true
		case st.State == link.AttemptFinished && st.Result != nil && st.Result.Run != contract.NotRun:
			return s.adoptOutcome(ctx, held, *st.Result), false
		}
	}
	if running {
		return unknownOutcome(contract.CodeInProgress, "an earlier request with this key is running"), false
	}
	if !provedNotRun {
		return unknownOutcome(contract.CodeOutcomeUnknown, "an earlier request with this key may have run"), false
	}
	if err := s.e.o.Claims.Release(ctx, held); err != nil {
		return refusedResult(contract.CodeClaimUnavailable, "the claim of an earlier call could not be freed"), false
	}
	return link.RunResult{}, true
}

// adoptOutcome records the outcome that the holder did not record, and replays it.
func (s *stageRun) adoptOutcome(ctx context.Context, held claim.Request, res link.RunResult) link.RunResult {
	o := claim.Outcome{Run: res.Run, Code: res.Code, Detail: res.Detail, Body: res.Output.Body}
	s.recordOutcome(context.WithoutCancel(ctx), held, o)
	return s.replay(&o)
}

// settleAttempt asks one agent for the state of an attempt. An agent that has restarted
// since the claim was made answers that it does not know the attempt.
func (s *stageRun) settleAttempt(ctx context.Context, c claim.Candidate, id contract.AttemptID) (link.SettleResult, error) {
	l, err := s.e.linkCache.linkTo(ctx, c.Addr)
	if err != nil {
		return link.SettleResult{}, err
	}
	return l.Settle(ctx, link.SettleParams{Attempt: id, AgentBoot: c.Boot})
}

func refusedResult(code contract.Code, detail string) link.RunResult {
	return link.RunResult{Run: contract.NotRun, Code: code, Detail: detail}
}

func unknownOutcome(code contract.Code, detail string) link.RunResult {
	return link.RunResult{Run: contract.MayHaveRun, Code: code, Detail: detail}
}
