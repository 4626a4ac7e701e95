//! Transport between daemons: framed postcard messages over TCP and single ones over UDP.
//!
//! The crate defines no messages; the two sides have to use the same types.
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! use std::time::Duration;
//! use wisteriapoint_peer::{Client, serve};
//!
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let address = listener.local_addr()?;
//! tokio::spawn(serve(listener, |request: u32| async move { request + 1 }));
//!
//! let response: u32 = Client::new().call(address, &41_u32, Duration::from_secs(1)).await?;
//! assert_eq!(response, 42);
//! # Ok::<(), wisteriapoint_peer::Error>(())
//! # }).unwrap();
//! ```

pub mod client;
pub mod close;
pub mod datagram;
pub mod error;
pub mod frame;
pub mod server;
pub mod tunnel;

pub use client::{Client, Reply};
pub use close::{ExchangeMark, ResetOnClose, SharedStream};
pub use datagram::DatagramSocket;
pub use error::Error;
pub use frame::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION};
pub use server::{Answer, serve, serve_with_tunnels};
pub use tunnel::TunnelStream;
