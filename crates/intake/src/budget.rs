//! The bytes of callers' bodies that a node holds.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;

use crate::account::{Account, Unfinished};
use crate::limits::Limits;

/// Bytes held for callers; clones share the account.
#[derive(Debug, Clone)]
pub struct Budget(Arc<Mutex<Account>>);

/// The account is full, and the body was chosen to give way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused;

/// A body that is being received; its bytes are released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    id: u64,
}

/// Complete data, whose bytes are released on drop.
struct Held<T: AsRef<[u8]>> {
    budget: Budget,
    data: T,
}

impl Budget {
    /// Creates an account without held bytes.
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Mutex::new(Account::new(limits))))
    }

    /// Opens a body without bytes, of at most `max_bytes` if that is known.
    pub fn open(&self, max_bytes: Option<usize>, now_ms: u64) -> Reservation {
        let mut account = self.account();
        let id = account.next_id;
        account.next_id += 1;
        let body = Unfinished::new(max_bytes, now_ms);
        account.unfinished.insert(id, body);
        Reservation {
            budget: self.clone(),
            id,
        }
    }

    /// Counts an answer, until the last clone of the result is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the account is full.
    pub fn keep(&self, answer: Bytes) -> Result<Bytes, Refused> {
        match self.account().keep(answer.len()) {
            true => Ok(Bytes::from_owner(Held {
                budget: self.clone(),
                data: answer,
            })),
            false => Err(Refused),
        }
    }

    /// Returns the bytes of all bodies and answers.
    pub fn held_bytes(&self) -> usize {
        let account = self.account();
        account.unfinished_bytes + account.finished_bytes
    }

    /// Returns the bytes of the bodies that have not been received to their end.
    pub fn unfinished_bytes(&self) -> usize {
        self.account().unfinished_bytes
    }

    fn account(&self) -> MutexGuard<'_, Account> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reservation {
    /// Counts more bytes and keeps them.
    ///
    /// # Errors
    ///
    /// Fails if this body has been refused, or has to give way now; it holds nothing then.
    pub fn append(&self, data: &[u8], now_ms: u64) -> Result<(), Refused> {
        let mut account = self.budget.account();
        if !account.make_room(self.id, data.len(), now_ms) {
            account.remove(self.id);
            return Err(Refused);
        }
        let body = account.unfinished.get_mut(&self.id).ok_or(Refused)?;
        if !body.storage.append(data, body.max_bytes) {
            account.remove(self.id);
            return Err(Refused);
        }
        body.record_progress(now_ms);
        account.unfinished_bytes += data.len();
        Ok(())
    }

    /// Waits until the body is refused in favour of another one.
    pub fn poll_refused(&self, context: &Context<'_>) -> Poll<()> {
        let mut account = self.budget.account();
        let Some(body) = account.unfinished.get_mut(&self.id) else {
            return Poll::Ready(());
        };
        body.waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Returns the complete body, whose bytes count until its last clone is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body has been refused.
    pub fn finish(self) -> Result<Bytes, Refused> {
        let mut account = self.budget.account();
        let body = account.remove(self.id).ok_or(Refused)?;
        account.finished_bytes += body.storage.len();
        Ok(Bytes::from_owner(Held {
            budget: self.budget.clone(),
            data: body.storage,
        }))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.account().remove(self.id);
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

impl<T: AsRef<[u8]>> Drop for Held<T> {
    fn drop(&mut self) {
        self.budget.account().finished_bytes -= self.data.as_ref().len();
    }
}
