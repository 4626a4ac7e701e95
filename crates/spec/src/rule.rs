//! The rules of the protocol that can be left out.

/// A rule that the model can be run without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A source grants no more once it has been pulled from.
    Seal,
    /// A claim needs grants of a majority of the holders.
    Majority,
    /// A new holder has the claims of earlier views before it opens.
    Transfer,
    /// A source that was not open in a view does not stand for the views before.
    OpenedSource,
    /// The view record keeps earlier views until their transfer is done.
    RetainEarlierViews,
    /// A holder counts as gone only when its run is over for certain.
    ConfirmedTermination,
    /// After a loss, keys issued before it are answered may-have-run.
    AmbiguousAfterLoss,
    /// The distrust covers clocks that are apart by the skew allowed.
    ClockSkew,
    /// Only the claimant releases its claim, even when it is no longer in the view.
    ReleaseByClaimant,
    /// A claimant that did not win says may-have-run.
    MayHaveRun,
    /// A claimant that said not-run does not dispatch.
    NotRunIsFinal,
}
