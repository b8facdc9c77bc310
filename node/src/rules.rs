//! What may be started, sent, repeated, answered and closed now. All paths of the node ask here before they act, whatever led
//! to them: the decision module's choice, a connection that became ready, a repeat, a shutdown. It has no clock and does no I/O.
//!
//! A refusal to start an RPC is a client's mistake. Any other refusal means that the node was about to break a rule: the act
//! is left out, and counted as a violation.
use crate::executed_ids::ExecutedIds;
use rockpick::{Idempotency, Method, Ns};

/// A rule that the node was about to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A statement of an RPC that has its final answer, or whose client has left.
    SentAfterAnswer,
    /// A statement whose time is over.
    SentWithoutTime,
    /// A statement to a machine that is gone, or to another process than the one that was chosen.
    SentToOtherProcess,
    /// A repeat of an RPC that may have run, or still may, and must not run twice.
    RepeatedEffect,
    /// A pushback, which says that nothing ran, of an RPC that may have run and must not run twice.
    PushedBackEffect,
    /// A second final answer.
    AnsweredTwice,
    /// The close of a client's connection on which a reply is outstanding.
    ClosedUnanswered,
}

const VIOLATIONS: usize = 7;

/// Why an RPC is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    IdIsOpen,
    /// The same RPC came before, and may have run.
    MayHaveRun,
}

impl StartRefusal {
    pub fn text(self) -> &'static str {
        match self {
            StartRefusal::IdIsOpen => "an RPC of this id is open",
            StartRefusal::MayHaveRun => "an RPC of this id may have run already",
        }
    }
}

/// An earlier pick of an RPC.
#[derive(Clone, Copy, Debug)]
pub struct EarlierPick {
    pub sent: Ns,
    pub outstanding: bool,
    pub may_have_run: bool,
}

/// A statement that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Send<'a> {
    pub now: Ns,
    /// The RPC has its final answer or needs none any more.
    pub finished: bool,
    pub deadline: Ns,
    /// The machine is listed, and runs the process that was chosen.
    pub same_process: bool,
    pub method: &'a Method,
}

#[derive(Default)]
pub struct Rules {
    executed: ExecutedIds,
    violations: [u64; VIOLATIONS],
}

impl Rules {
    /// Whether an RPC may be started.
    ///
    /// # Errors
    /// Why it may not.
    pub fn start(&self, id: u64, method: &Method, id_is_open: bool, now: Ns) -> Result<(), StartRefusal> {
        if id_is_open {
            return Err(StartRefusal::IdIsOpen);
        }
        if method.idempotency != Idempotency::Idempotent && self.executed.contains(id, now) {
            return Err(StartRefusal::MayHaveRun);
        }
        Ok(())
    }

    /// A pick of an RPC has ended, and a machine may have executed it.
    pub fn may_have_run(&mut self, id: u64, method: &Method, now: Ns) {
        if method.idempotency != Idempotency::Idempotent {
            self.executed.record(id, now);
        }
    }

    /// Whether a statement may be sent now, after the RPC's earlier picks.
    pub fn may_send(&mut self, send: &Send, earlier: impl Iterator<Item = EarlierPick> + Clone) -> bool {
        let violation = if send.finished {
            Some(Violation::SentAfterAnswer)
        } else if send.deadline <= send.now {
            Some(Violation::SentWithoutTime)
        } else if !send.same_process {
            Some(Violation::SentToOtherProcess)
        } else {
            (!may_repeat(send, earlier)).then_some(Violation::RepeatedEffect)
        };
        self.passes(violation)
    }

    /// Whether an RPC may be pushed back: nothing that must not run twice may have run.
    pub fn may_push_back(&mut self, method: &Method, mut picks: impl Iterator<Item = EarlierPick>) -> bool {
        let effect = method.idempotency == Idempotency::NonIdempotent;
        let violates = effect && picks.any(|pick| pick.may_have_run || pick.outstanding);
        self.passes(violates.then_some(Violation::PushedBackEffect))
    }

    /// Whether a final answer may be given.
    pub fn may_answer(&mut self, finished: bool) -> bool {
        self.passes(finished.then_some(Violation::AnsweredTwice))
    }

    /// Whether a client's connection may be closed.
    pub fn may_close(&mut self, outstanding_replies: usize) -> bool {
        self.passes((outstanding_replies > 0).then_some(Violation::ClosedUnanswered))
    }

    fn passes(&mut self, violation: Option<Violation>) -> bool {
        if let Some(violation) = violation {
            self.violations[violation as usize] += 1;
            tracing::error!(event = "rule violated", violation = ?violation);
        }
        violation.is_none()
    }

    /// Number of violations since the start.
    pub fn violations(&self) -> u64 {
        self.violations.iter().sum()
    }
}

/// Whether another pick may run beside or after the earlier ones.
fn may_repeat(send: &Send, mut earlier: impl Iterator<Item = EarlierPick> + Clone) -> bool {
    let first_run = || earlier.clone().filter(|pick| pick.may_have_run).map(|pick| pick.sent).min();
    match send.method.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Tokened => first_run().is_none_or(|first| send.now <= first + send.method.dedup_window),
        Idempotency::NonIdempotent => !earlier.any(|pick| pick.may_have_run || pick.outstanding),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rockpick_net::{MS, SEC};

    fn method(idempotency: Idempotency) -> Method {
        Method { idempotency, dedup_window: SEC, ..Method::default() }
    }

    fn pick(may_have_run: bool) -> EarlierPick {
        EarlierPick { sent: 0, outstanding: false, may_have_run }
    }

    fn sends(idempotency: Idempotency, now: Ns, earlier: &[EarlierPick]) -> (bool, u64) {
        let (mut rules, method) = (Rules::default(), method(idempotency));
        let send = Send { now, finished: false, deadline: 5 * SEC, same_process: true, method: &method };
        (rules.may_send(&send, earlier.iter().copied()), rules.violations())
    }

    #[test]
    fn an_effect_is_repeated_only_where_its_method_allows_it() {
        use Idempotency::{Idempotent, NonIdempotent, Tokened};
        let ran = [pick(true)];
        assert_eq!(sends(Idempotent, SEC, &ran), (true, 0));
        assert_eq!(sends(Tokened, SEC, &ran), (true, 0));
        assert_eq!(sends(Tokened, SEC + MS, &ran), (false, 1));
        assert_eq!(sends(NonIdempotent, MS, &[pick(false)]), (true, 0));
        assert_eq!(sends(NonIdempotent, MS, &ran), (false, 1));
        assert_eq!(sends(NonIdempotent, MS, &[EarlierPick { outstanding: true, ..pick(false) }]), (false, 1));
    }

    #[test]
    fn each_violation_is_refused_and_counted() {
        let (mut rules, method) = (Rules::default(), method(Idempotency::NonIdempotent));
        let allowed = Send { now: 0, finished: false, deadline: SEC, same_process: true, method: &method };
        let none = || std::iter::empty();
        assert!(rules.may_send(&allowed, none()) && rules.may_answer(false) && rules.may_close(0));
        assert!(rules.may_push_back(&method, [pick(false)].into_iter()));
        assert_eq!(rules.violations(), 0);
        let refused = [
            rules.may_send(&Send { finished: true, ..allowed }, none()),
            rules.may_send(&Send { now: SEC, ..allowed }, none()),
            rules.may_send(&Send { same_process: false, ..allowed }, none()),
            rules.may_send(&allowed, [pick(true)].into_iter()),
            rules.may_push_back(&method, [pick(true)].into_iter()),
            rules.may_answer(true),
            rules.may_close(1),
        ];
        assert_eq!((refused, rules.violations()), ([false; 7], 7));
    }

    #[test]
    fn an_id_that_may_have_run_is_not_started_again_unless_that_is_harmless() {
        let mut rules = Rules::default();
        let [reads, writes] = [Idempotency::Idempotent, Idempotency::NonIdempotent].map(method);
        rules.may_have_run(7, &reads, 0);
        assert_eq!(rules.start(7, &writes, false, SEC), Ok(()));
        rules.may_have_run(7, &writes, SEC);
        assert_eq!(rules.start(7, &writes, false, 2 * SEC), Err(StartRefusal::MayHaveRun));
        assert_eq!(rules.start(7, &reads, false, 2 * SEC), Ok(()));
        assert_eq!(rules.start(7, &reads, true, 2 * SEC), Err(StartRefusal::IdIsOpen));
    }
}
