//! The claimant's count of answers.

use crate::{Answer, Settled};

/// Counts the answers to one attempt.
#[derive(Debug)]
pub struct Tally {
    holders: usize,
    majority: usize,
    granted: usize,
    held: usize,
    failed: usize,
}

/// What the claimant does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Waits for more answers.
    Wait,
    /// Dispatches the request: this attempt alone may.
    Dispatch,
    /// Gives the recorded outcome.
    Settled(Settled),
    /// Refuses the request: the key belongs to another one.
    Mismatch,
    /// Releases what it was granted and tells the caller to come back.
    Release,
}

impl Tally {
    /// Starts a count over a number of holders.
    pub fn new(holders: usize, majority: usize) -> Self {
        Self {
            holders,
            majority,
            granted: 0,
            held: 0,
            failed: 0,
        }
    }

    /// Takes one holder's answer; none stands for an answer that did not come.
    pub fn count(&mut self, answer: Option<Answer>) -> Decision {
        match answer {
            Some(Answer::Settled(settled)) => return Decision::Settled(settled),
            Some(Answer::Mismatch) => return Decision::Mismatch,
            Some(Answer::Granted) => self.granted += 1,
            Some(Answer::Held { .. }) => self.held += 1,
            Some(Answer::NotOpen { .. }) | None => self.failed += 1,
        }
        self.decide()
    }

    fn decide(&self) -> Decision {
        let answered = self.granted + self.held + self.failed;
        let open = self.holders - answered;
        match self.granted {
            granted if granted >= self.majority => Decision::Dispatch,
            granted if granted + open >= self.majority => Decision::Wait,
            _ => Decision::Release,
        }
    }
}
