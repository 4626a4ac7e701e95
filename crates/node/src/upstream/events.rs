//! Parser for the server-sent events of an endpoint.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{PooledConnection, ResponseBuffer, SendFailure};

/// Largest event, with what has arrived of the next one.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Number of the event in the stream; `None` if it is missing or malformed.
    pub id: Option<u64>,
    /// Values of the `data` lines, joined by line feeds.
    pub data: Box<str>,
    /// Lines that are neither `id` nor `data`.
    pub other_lines: Vec<Box<str>>,
    /// Bytes as received, including the empty line at the end.
    pub raw: Bytes,
}

/// Reads events from a response body.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: ResponseBuffer,
    searched_bytes: usize,
}

impl EventReader {
    /// Creates a reader at the start of a body that was received on `connection`.
    pub fn new(body: Incoming, connection: &PooledConnection) -> Self {
        Self {
            body,
            buffer: connection.buffer(MAX_EVENT_BYTES),
            searched_bytes: 0,
        }
    }

    /// Returns the next event, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be read, ends within an event, or holds an event that is too large
    /// or not UTF-8.
    pub async fn next(&mut self) -> Result<Option<Event>, SendFailure> {
        loop {
            if let Some(end) = self.find_end() {
                let raw = self.buffer.take(end);
                self.searched_bytes = 0;
                let event = parse_event(raw);
                return event.map(Some).map_err(SendFailure::ambiguous);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data()
                        && !self.buffer.try_extend(&data)
                    {
                        return Err(SendFailure::ambiguous("event too large"));
                    }
                }
                Some(Err(error)) => return Err(SendFailure::connection_lost(error)),
                None if self.buffer.data().is_empty() => return Ok(None),
                None => {
                    let reason = "body ended in the middle of an event";
                    return Err(SendFailure::connection_lost(reason));
                }
            }
        }
    }

    /// Returns the index after the first empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched_bytes.saturating_sub(3);
        let rest = &self.buffer.data()[from..];
        let lf = rest.windows(2).position(|bytes| bytes == b"\n\n");
        let crlf = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        self.searched_bytes = self.buffer.data().len();
        match (lf, crlf) {
            (Some(lf), Some(crlf)) if crlf < lf => Some(from + crlf + 4),
            (Some(lf), _) => Some(from + lf + 2),
            (None, Some(crlf)) => Some(from + crlf + 4),
            (None, None) => None,
        }
    }
}

/// Parses the lines of one event.
///
/// # Errors
///
/// Fails if the bytes are not UTF-8.
pub fn parse_event(raw: Bytes) -> Result<Event, Box<str>> {
    let text = std::str::from_utf8(&raw).map_err(|error| error.to_string())?;
    let mut event = Event {
        id: None,
        data: "".into(),
        other_lines: Vec::new(),
        raw: raw.clone(),
    };
    let mut data: Option<String> = None;
    for line in text.lines().filter(|line| !line.is_empty()) {
        match line.split_once(':') {
            Some(("id", value)) => event.id = value.trim().parse().ok(),
            Some(("data", value)) => {
                let value = value.strip_prefix(' ').unwrap_or(value);
                match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                }
            }
            _ => event.other_lines.push(line.into()),
        }
    }
    event.data = data.unwrap_or_default().into();
    Ok(event)
}
