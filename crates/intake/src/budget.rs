//! The bytes of callers' bodies that a node holds.

use std::cell::Cell;
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

/// Data that is dropped when room is needed, or with this handle.
#[derive(Debug)]
pub struct Cached {
    budget: Budget,
    id: u64,
}

/// Bytes that their holder counts; released on drop.
#[derive(Debug)]
pub struct Reserved {
    budget: Budget,
    bytes: Cell<usize>,
}

/// Complete data, whose bytes are released on drop.
struct Held<T: AsRef<[u8]>> {
    budget: Budget,
    data: T,
    is_sent: bool,
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

    /// Counts complete data, until the last clone of the result is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the account is full.
    pub fn keep(&self, data: Bytes) -> Result<Bytes, Refused> {
        self.evict(data.len(), data.len());
        match self.account().keep(data.len()) {
            true => Ok(self.hold(data, false)),
            false => Err(Refused),
        }
    }

    /// Counts data that is to be sent to an endpoint, until the last clone of the result is dropped.
    ///
    /// Cached data gives way only if nothing else is being sent, which is released soon. Then the data is
    /// kept whatever its size, so that each can be sent in turn.
    ///
    /// # Errors
    ///
    /// Fails if there is no room while other data is being sent.
    pub fn keep_for_send(&self, data: Bytes) -> Result<Bytes, Refused> {
        let bytes = data.len();
        if self.account().sending_bytes == 0 {
            self.evict(bytes, bytes);
        }
        if !self.can_send(bytes) {
            return Err(Refused);
        }
        let mut account = self.account();
        account.finished_bytes += bytes;
        account.sending_bytes += bytes;
        drop(account);
        Ok(self.hold(data, true))
    }

    /// Returns `true` if [`keep_for_send`](Self::keep_for_send) accepts data of a size now.
    pub fn can_send(&self, bytes: usize) -> bool {
        let account = self.account();
        account.sending_bytes == 0 || bytes <= account.free_bytes()
    }

    /// Keeps data that has been counted until room is needed for other data.
    pub fn cache(&self, data: Bytes) -> Cached {
        Cached {
            id: self.account().cache(data),
            budget: self.clone(),
        }
    }

    /// Counts bytes that their holder keeps by itself.
    ///
    /// # Errors
    ///
    /// Fails if all such bytes exceed their share of the account.
    pub fn reserve(&self, bytes: usize) -> Result<Reserved, Refused> {
        self.evict(bytes, bytes);
        match self.account().reserve(bytes) {
            true => Ok(Reserved {
                budget: self.clone(),
                bytes: Cell::new(bytes),
            }),
            false => Err(Refused),
        }
    }

    /// Returns the most bytes that their holders may count when more are reserved.
    pub fn max_reserved_bytes(&self) -> usize {
        self.account().max_reserved_bytes()
    }

    /// Returns the bytes of everything that is held.
    pub fn held_bytes(&self) -> usize {
        self.account().held_bytes()
    }

    /// Returns the bytes that data larger than a small body may use without taking room from other data.
    pub fn free_bytes(&self) -> usize {
        self.account().free_bytes()
    }

    /// Returns the bytes of the bodies that have not been received to their end.
    pub fn unfinished_bytes(&self) -> usize {
        self.account().unfinished_bytes
    }

    fn hold<T: AsRef<[u8]> + Send + 'static>(&self, data: T, is_sent: bool) -> Bytes {
        Bytes::from_owner(Held {
            budget: self.clone(),
            data,
            is_sent,
        })
    }

    /// Drops cached data until more bytes of data of a size have room, or nothing is cached.
    fn evict(&self, size_bytes: usize, more_bytes: usize) {
        loop {
            // Dropping the data locks the account.
            let evicted = self.account().evict(size_bytes, more_bytes);
            if evicted.is_none() {
                return;
            }
        }
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
        let size_bytes = self.len() + data.len();
        self.budget.evict(size_bytes, data.len());
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

    fn len(&self) -> usize {
        let account = self.budget.account();
        let body = account.unfinished.get(&self.id);
        body.map_or(0, |body| body.storage.len())
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
        drop(account);
        Ok(self.budget.hold(body.storage, false))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.account().remove(self.id);
    }
}

impl Cached {
    /// Returns the data, unless it was dropped.
    pub fn get(&self) -> Option<Bytes> {
        self.budget.account().cached(self.id)
    }
}

impl Drop for Cached {
    fn drop(&mut self) {
        // Dropping the data locks the account.
        let _data = self.budget.account().remove_cached(self.id);
    }
}

impl Reserved {
    /// Changes the number of bytes, which have been allocated already and so are not refused.
    pub fn set(&self, bytes: usize) {
        let mut account = self.budget.account();
        account.reserved_bytes -= self.bytes.replace(bytes);
        account.reserved_bytes += bytes;
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

impl<T: AsRef<[u8]>> Drop for Held<T> {
    fn drop(&mut self) {
        let bytes = self.data.as_ref().len();
        let mut account = self.budget.account();
        account.finished_bytes -= bytes;
        if self.is_sent {
            account.sending_bytes -= bytes;
        }
    }
}
