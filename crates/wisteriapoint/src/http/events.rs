//! Bounded channel of server-sent events from a task to a caller.

use std::io;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use wisteriapoint_gateway::Problem;

const CHANNEL_CAPACITY: usize = 16;

/// One event of a stream.
#[derive(Debug)]
pub(super) enum Event {
    /// Payload of a data event.
    Data(String),
    /// End of a complete stream.
    End,
    /// End of an incomplete stream, with the reason.
    Problem(Problem),
}

/// Sending half of the channel, used by the task.
#[derive(Debug, Clone)]
pub(super) struct EventSender(mpsc::Sender<Event>);

/// Receiving half of the channel, used by the response; it is dropped when the caller
/// disconnects, which closes the channel.
#[derive(Debug)]
pub(super) struct EventReceiver(mpsc::Receiver<Event>);

/// Creates a channel.
pub(super) fn channel() -> (EventSender, EventReceiver) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    (EventSender(sender), EventReceiver(receiver))
}

impl EventSender {
    /// Sends an event, waiting for room until a deadline; returns `true` if it was sent.
    pub(super) async fn send(&self, event: Event, deadline: Instant) -> bool {
        matches!(timeout_at(deadline, self.0.send(event)).await, Ok(Ok(())))
    }

    /// Waits until the caller has disconnected.
    pub(super) async fn closed(&self) {
        self.0.closed().await;
    }
}

impl EventReceiver {
    /// Receives the first event.
    ///
    /// # Errors
    ///
    /// Returns a problem that is the first event, so that the response can still have its
    /// status, and a problem if the task ended without an event.
    pub(super) async fn first(&mut self) -> Result<Event, Problem> {
        match self.0.recv().await {
            Some(Event::Problem(problem)) => Err(problem),
            Some(event) => Ok(event),
            None => Err(Problem::may_have_run(500, "internal", "the task ended")),
        }
    }

    /// Returns the body of the response, which fails if the task ends without a final event.
    pub(super) fn into_body(self, first: Event) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(Some((Some(first), self.0)), |state| async move {
            let (first, mut receiver) = state?;
            let event = match first {
                Some(event) => Some(event),
                None => receiver.recv().await,
            };
            let has_more = matches!(event, Some(Event::Data(_)));
            Some((encode(event), has_more.then_some((None, receiver))))
        })
    }
}

fn encode(event: Option<Event>) -> io::Result<Bytes> {
    let text = match event {
        Some(Event::Data(data)) => format!("data: {data}\n\n"),
        Some(Event::End) => "data: [DONE]\n\n".into(),
        Some(Event::Problem(problem)) => {
            let data = serde_json::to_string(&problem).unwrap_or_default();
            format!("event: error\ndata: {data}\n\n")
        }
        None => return Err(io::Error::other("the task ended without a final event")),
    };
    Ok(text.into())
}
