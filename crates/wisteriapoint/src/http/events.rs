//! Server-sent events from a task to a caller, over a bounded buffer.

use std::io;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use wisteriapoint_gateway::Problem;

const CHANNEL_CAPACITY: usize = 16;

/// One event.
#[derive(Debug)]
pub(super) enum Event {
    /// Some data.
    Data(String),
    /// The explicit end of a whole stream.
    End,
    /// The end of a stream that isn't whole.
    Problem(Problem),
}

/// The task's side.
#[derive(Debug, Clone)]
pub(super) struct EventSender(mpsc::Sender<Event>);

/// The caller's side; dropping it tells the task that the caller is gone.
#[derive(Debug)]
pub(super) struct EventReceiver(mpsc::Receiver<Event>);

/// Makes both sides.
pub(super) fn channel() -> (EventSender, EventReceiver) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    (EventSender(sender), EventReceiver(receiver))
}

impl EventSender {
    /// Waits for room until a deadline; gives whether the event was taken.
    pub(super) async fn send(&self, event: Event, deadline: Instant) -> bool {
        matches!(timeout_at(deadline, self.0.send(event)).await, Ok(Ok(())))
    }

    /// Waits until the caller is gone.
    pub(super) async fn closed(&self) {
        self.0.closed().await;
    }
}

impl EventReceiver {
    /// The first event.
    ///
    /// # Errors
    ///
    /// A problem that comes first can still be answered with a status of its own.
    pub(super) async fn first(&mut self) -> Result<Event, Problem> {
        match self.0.recv().await {
            Some(Event::Problem(problem)) => Err(problem),
            Some(event) => Ok(event),
            None => Err(Problem::may_have_run(500, "internal", "the task ended")),
        }
    }

    /// The body of the answer; it breaks off if the task ends without a last event.
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
        None => return Err(io::Error::other("the stream was given up")),
    };
    Ok(text.into())
}
