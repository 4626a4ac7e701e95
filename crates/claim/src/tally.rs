//! Counting of the responses to a claim.

use std::collections::BTreeSet;

use wisteriapoint_types::MemberId;

use crate::{ClaimResponse, Settled};

/// Counts the responses of the holders to one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Tally {
    holders: usize,
    majority: usize,
    granted: usize,
    refused: usize,
    claimants: BTreeSet<MemberId>,
}

/// The claimant's next action.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Wait for more responses.
    Wait,
    /// Dispatch the request: this attempt has the exclusive right.
    Dispatch,
    /// Return the recorded outcome.
    Settled(Settled),
    /// Refuse the request permanently: it may have run, and the record of it is lost.
    Lost,
    /// Refuse the request: its key was used for another request.
    Mismatch,
    /// Release the grants received, since no majority can be reached any more; another attempt
    /// may have run.
    Release,
}

impl Tally {
    /// Creates a tally for a number of holders, of which `majority` have to grant the claim.
    pub fn new(holders: usize, majority: usize) -> Self {
        Self {
            holders,
            majority,
            granted: 0,
            refused: 0,
            claimants: BTreeSet::new(),
        }
    }

    /// Counts the response of one holder; `None` stands for a holder that did not respond.
    pub fn count(&mut self, response: Option<ClaimResponse>) -> Decision {
        match response {
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

    /// Returns the daemons whose attempts hold the claim at some holder.
    pub fn claimants(&self) -> &BTreeSet<MemberId> {
        &self.claimants
    }

    fn decide(&self) -> Decision {
        let outstanding = self.holders - self.granted - self.refused;
        match self.granted {
            granted if granted >= self.majority => Decision::Dispatch,
            granted if granted + outstanding >= self.majority => Decision::Wait,
            _ => Decision::Release,
        }
    }
}
