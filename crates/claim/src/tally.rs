//! The claimant's count of answers.

use std::collections::BTreeSet;

use wisteriapoint_types::MemberId;

use crate::{ClaimResponse, Settled};

/// Counts the answers to one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Tally {
    holders: usize,
    majority: usize,
    granted: usize,
    refused: usize,
    claimants: BTreeSet<MemberId>,
}

/// What the claimant does next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Waits for more answers.
    Wait,
    /// Dispatches the request: this attempt alone may.
    Dispatch,
    /// Gives the recorded outcome.
    Settled(Settled),
    /// Refuses the request for good: it may have run, and what is known of it is lost.
    Lost,
    /// Refuses the request: the key belongs to another one.
    Mismatch,
    /// Releases what it was granted; another attempt may have run.
    Release,
}

impl Tally {
    /// Starts a count over a number of holders.
    pub fn new(holders: usize, majority: usize) -> Self {
        Self {
            holders,
            majority,
            granted: 0,
            refused: 0,
            claimants: BTreeSet::new(),
        }
    }

    /// Takes one holder's answer; none stands for an answer that did not come.
    pub fn count(&mut self, answer: Option<ClaimResponse>) -> Decision {
        match answer {
            Some(ClaimResponse::Settled(settled)) => return Decision::Settled(settled),
            Some(ClaimResponse::Mismatch) => return Decision::Mismatch,
            Some(ClaimResponse::Lost) => return Decision::Lost,
            Some(ClaimResponse::Granted) => self.granted += 1,
            Some(ClaimResponse::Held { claimant, .. }) => {
                self.claimants.insert(claimant);
                self.refused += 1;
            }
            Some(ClaimResponse::NotOpen { .. } | ClaimResponse::Released) | None => {
                self.refused += 1
            }
        }
        self.decide()
    }

    /// The daemons whose attempts stand in the way.
    pub fn claimants(&self) -> &BTreeSet<MemberId> {
        &self.claimants
    }

    fn decide(&self) -> Decision {
        let open = self.holders - self.granted - self.refused;
        match self.granted {
            granted if granted >= self.majority => Decision::Dispatch,
            granted if granted + open >= self.majority => Decision::Wait,
            _ => Decision::Release,
        }
    }
}
