//! Daemon and command line of wisteriapoint.
//!
//! ```no_run
//! use wisteriapoint::daemon::Daemon;
//!
//! # async fn run() -> Result<(), wisteriapoint::Error> {
//! let text = std::fs::read_to_string("vm.json")?;
//! let settings = wisteriapoint_settings::vm_from_str(&text)?;
//! let daemon = Daemon::start(settings).await?;
//! println!("callers reach {}", daemon.addresses().service);
//! daemon.stop().await;
//! # Ok(())
//! # }
//! ```

pub mod cli;
pub mod daemon;
pub mod error;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod record;

pub use error::Error;
