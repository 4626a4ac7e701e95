//! The workspaces of a configuration, found by the keys that requests carry.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use crate::{Credential, KeyDigest};

/// A team that shares the endpoints with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    name: Rc<str>,
    priority: Option<u8>,
}

impl Workspace {
    /// Creates a workspace; a priority precedes that of the route, 0 is the highest.
    pub fn new(name: &str, priority: Option<u8>) -> Self {
        Self {
            name: name.into(),
            priority,
        }
    }

    /// Returns the name, which endpoints are told.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the name, shared.
    pub fn shared_name(&self) -> Rc<str> {
        self.name.clone()
    }

    /// Returns the priority that precedes that of the route, if one is set.
    pub fn priority(&self) -> Option<u8> {
        self.priority
    }
}

/// Reason for which a request is rejected; in the answer and in the log, neither with the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The route wants a key, and the request has none.
    #[error("a key is required")]
    NoKey,
    /// The request has something that is no key.
    #[error("the key is malformed")]
    MalformedKey,
    /// No workspace has the key.
    #[error("the key is unknown")]
    UnknownKey,
}

/// The workspaces of one configuration.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Workspaces {
    workspaces: Vec<Workspace>,
    /// Digests with the index of their workspace, by the first bytes of the digest.
    keys: BTreeMap<u64, Vec<(KeyDigest, usize)>>,
}

impl fmt::Debug for Workspaces {
    /// Writes no part of a digest.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys: usize = self.keys.values().map(Vec::len).sum();
        f.debug_struct("Workspaces")
            .field("workspaces", &self.workspaces)
            .field("keys", &keys)
            .finish()
    }
}

impl Workspaces {
    /// Creates the table from workspaces and their keys, of which only digests are kept.
    ///
    /// Keys that no request can state are left out. A key of two workspaces is that of the first.
    pub fn new<K: AsRef<str>>(
        workspaces: impl IntoIterator<Item = (Workspace, impl IntoIterator<Item = K>)>,
    ) -> Self {
        let mut table = Self::default();
        for (workspace, keys) in workspaces {
            let index = table.workspaces.len();
            table.workspaces.push(workspace);
            for key in keys {
                if let Credential::Key(digest) = Credential::from_key(key.as_ref()) {
                    let bucket = table.keys.entry(digest.bucket()).or_default();
                    bucket.push((digest, index));
                }
            }
        }
        table
    }

    /// Returns the workspace of a request, or `None` for a request without a key on an anonymous
    /// route.
    ///
    /// # Errors
    ///
    /// Fails if the credential is not a key in force, unless none is required.
    pub fn authenticate(
        &self,
        credential: &Credential,
        is_anonymous: bool,
    ) -> Result<Option<&Workspace>, Rejection> {
        match credential {
            Credential::Absent if is_anonymous => Ok(None),
            Credential::Absent => Err(Rejection::NoKey),
            Credential::Malformed => Err(Rejection::MalformedKey),
            Credential::Key(digest) => match self.find(digest) {
                Some(workspace) => Ok(Some(workspace)),
                None => Err(Rejection::UnknownKey),
            },
        }
    }

    /// Returns the workspace with a name.
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name() == name)
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns `true` if there is no workspace, so that no key is valid.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    fn find(&self, digest: &KeyDigest) -> Option<&Workspace> {
        let bucket = self.keys.get(&digest.bucket())?;
        let (_, index) = bucket.iter().find(|(other, _)| other == digest)?;
        self.workspaces.get(*index)
    }
}
