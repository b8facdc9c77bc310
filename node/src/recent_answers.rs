//! The answers that a machine has lately given on a connection. An answer that equals one of them may be a late copy of it
//! in place of the answer to the query that is open now: answers bear no name, so only their bytes tell.
use rockpick::Ns;
use rockpick_net::SEC;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A copy comes some milliseconds after its answer; one that equals an older answer is the answer to its own query.
const MAX_COPY_DELAY: Ns = SEC;
const MAX_ANSWERS: usize = 8;

#[derive(Default)]
pub struct RecentAnswers {
    /// Digests, and when each answer was received.
    answers: VecDeque<(u64, Ns)>,
}

impl RecentAnswers {
    /// Remembers an answer; returns whether it may be a copy of an earlier one.
    pub fn record(&mut self, answer: &[u8], now: Ns) -> bool {
        let mut hasher = DefaultHasher::new();
        answer.hash(&mut hasher);
        let digest = hasher.finish();
        self.answers.retain(|(_, at)| now - at <= MAX_COPY_DELAY);
        let may_be_copy = self.answers.iter().any(|(known, _)| *known == digest);
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((digest, now));
        may_be_copy
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rockpick_net::MS;

    #[test]
    fn an_answer_that_equals_a_recent_one_may_be_its_copy() {
        let mut answers = RecentAnswers::default();
        assert!(!answers.record(b"a", 0) && !answers.record(b"b", 9 * MS));
        assert!(answers.record(b"a", 20 * MS) && answers.record(b"b", MAX_COPY_DELAY));
        assert!(!answers.record(b"a", 2 * MAX_COPY_DELAY));
    }

    #[test]
    fn few_answers_are_remembered() {
        let mut answers = RecentAnswers::default();
        (0..100u32).for_each(|i| assert!(!answers.record(&i.to_be_bytes(), 0)));
        assert_eq!(answers.answers.len(), MAX_ANSWERS);
    }
}
