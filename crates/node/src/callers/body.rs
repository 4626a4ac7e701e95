//! Reading of a caller's body, whose bytes are reserved before they are kept.

use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{sleep, timeout};
use wisteriapoint_directory::Limits;
use wisteriapoint_intake::{Budget, Connection, Progress};

use crate::clock::Clock;

/// Bytes beyond the size limit, or of a refused body, that are read and discarded before the caller
/// gets its response.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// Longest time for which the rest of a refused body is discarded.
const MAX_DISCARD_TIME: Duration = Duration::from_millis(500);

/// Reason for which a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFailure {
    /// The caller ended it early or broke the framing.
    BrokenOff,
    /// It is larger than the limit.
    TooLarge,
    /// It gave way to others.
    Refused,
    /// It made no progress.
    Stalled,
}

impl BodyFailure {
    /// Returns the reason as metrics and log lines name it, if the body was refused because of what is
    /// held for callers.
    pub fn refusal_reason(self) -> Option<&'static str> {
        match self {
            Self::Refused => Some("account-full"),
            Self::Stalled => Some("no-progress"),
            Self::BrokenOff | Self::TooLarge => None,
        }
    }
}

/// Failure to receive a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyError {
    /// The reason.
    pub failure: BodyFailure,
    /// Whether the connection can't be used for another request, as some of the body is unread.
    pub is_unread: bool,
}

/// What happened first while a body was awaited.
enum Step {
    Data(Bytes),
    Trailers,
    End,
    Failed(BodyFailure),
    Closed,
}

/// Reads a body of at most `max_body_bytes`, which may pause for the idle timeout of a connection.
///
/// Of a larger body, reads and discards up to [`MAX_DISCARDED_BYTES`] more, since a caller that is
/// still sending would not see the response.
///
/// # Errors
///
/// Fails if the body can't be received; it holds nothing then.
pub async fn read_body(
    mut body: Incoming,
    limits: Limits,
    (budget, connection): (&Budget, &Connection),
    clock: Clock,
) -> Result<Bytes, BodyError> {
    let (max_bytes, max_stall_ms) = (limits.max_body_bytes, limits.idle_timeout_ms);
    let announced_bytes = body.size_hint().exact();
    let announced_bytes = announced_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let mut progress = Progress::new(clock.now_ms());
    let largest_bytes = announced_bytes.unwrap_or(max_bytes).min(max_bytes);
    let mut reservation = Some(budget.open(Some(largest_bytes), clock.now_ms()));
    if announced_bytes.is_some_and(|announced_bytes| announced_bytes > max_bytes) {
        reservation = None;
    }
    let mut read_bytes = 0;
    let error = |failure, is_unread| BodyError { failure, is_unread };
    loop {
        let left_ms = max_stall_ms.saturating_sub(progress.stalled_ms(clock.now_ms()));
        let refused = poll_fn(|context| match &reservation {
            Some(reservation) => reservation.poll_refused(context),
            None => std::task::Poll::Pending,
        });
        let step = tokio::select! {
            biased;
            () = refused => Step::Failed(BodyFailure::Refused),
            () = poll_fn(|context| connection.poll_closed(context)) => Step::Closed,
            frame = body.frame() => frame.map_or(Step::End, |frame| match frame {
                Ok(frame) => frame.into_data().map_or(Step::Trailers, Step::Data),
                Err(_) => Step::Failed(BodyFailure::BrokenOff),
            }),
            () = sleep(Duration::from_millis(left_ms)) => Step::Failed(BodyFailure::Stalled),
        };
        let now_ms = clock.now_ms();
        match step {
            Step::Trailers => {}
            Step::End => break,
            Step::Closed => return Err(error(BodyFailure::Refused, true)),
            Step::Failed(BodyFailure::Refused) => {
                return Err(error(BodyFailure::Refused, !discard(&mut body).await));
            }
            Step::Failed(BodyFailure::Stalled) if reservation.is_none() => {
                return Err(error(BodyFailure::TooLarge, true));
            }
            Step::Failed(failure) => return Err(error(failure, true)),
            Step::Data(data) => {
                read_bytes += data.len();
                progress.record(read_bytes, now_ms);
                match &reservation {
                    _ if read_bytes > max_bytes + MAX_DISCARDED_BYTES => {
                        return Err(error(BodyFailure::TooLarge, true));
                    }
                    _ if read_bytes > max_bytes => reservation = None,
                    Some(body_bytes) if body_bytes.append(&data, now_ms).is_err() => {
                        return Err(error(BodyFailure::Refused, !discard(&mut body).await));
                    }
                    _ => {}
                }
            }
        }
    }
    match reservation {
        None => Err(error(BodyFailure::TooLarge, false)),
        Some(reservation) => {
            let finished = reservation.finish();
            finished.map_err(|_| error(BodyFailure::Refused, false))
        }
    }
}

/// Reads and discards the rest of a body; returns `false` if it has more than can be waited for.
async fn discard(body: &mut Incoming) -> bool {
    let rest = async {
        let mut discarded_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return false;
            }
        }
        body.is_end_stream()
    };
    timeout(MAX_DISCARD_TIME, rest).await.unwrap_or(false)
}
