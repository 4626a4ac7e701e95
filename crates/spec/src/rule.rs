//! Rules of the protocol that can be disabled.

/// A rule of the protocol that an exploration can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A source grants no claims after a new holder has pulled from it.
    Seal,
    /// A claim needs grants from a majority of the holders.
    Majority,
    /// A new holder receives the claims of earlier views before it opens.
    Transfer,
    /// A source supplies all claims of the views before a view only if it was open in that view.
    OpenedSource,
    /// The view record retains earlier views until their claims have been transferred.
    RetainEarlierViews,
    /// A holder counts as terminated only when its process has definitely ended.
    ConfirmedTermination,
    /// After a loss of claims, requests with keys issued before it are answered may-have-run.
    AmbiguousAfterLoss,
    /// The time of a loss is extended by twice the permitted clock skew before a key counts as
    /// issued after it.
    ClockSkew,
    /// Only the claimant releases its claim, even after it has left the view.
    ReleaseByClaimant,
    /// A claimant that did not get a majority answers may-have-run.
    MayHaveRun,
    /// A claimant that answered not-run does not dispatch.
    NotRunIsFinal,
}
