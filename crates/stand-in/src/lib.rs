//! Stand-ins for the systems around wisteriapoint: platform, engines, plain services, trainers.
//!
//! Tests run them in process as library types; the binary runs them as a separate process.
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! use wisteriapoint_stand_in::{Platform, serve};
//!
//! let platform = Platform::new();
//! let running = serve::on_loopback(platform.router()).await.unwrap();
//! println!("the platform listens on {}", running.address);
//! # })
//! ```

pub mod demo;
pub mod engine;
pub mod order_faults;
pub mod plain;
pub mod platform;
pub mod scorer;
pub mod scripted;
pub mod serve;
pub mod trainer;
pub mod weight_store;

pub use engine::{Engine, EngineSettings};
pub use order_faults::OrderFaults;
pub use plain::PlainService;
pub use platform::Platform;
pub use scorer::Scorer;
pub use scripted::{ReceivedRequest, Reply, ScriptedServer};
pub use serve::RunningServer;
pub use trainer::Trainer;
pub use weight_store::WeightStore;
