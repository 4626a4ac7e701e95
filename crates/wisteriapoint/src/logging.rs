//! Log lines, as text or as JSON.

use std::time::SystemTime;

use wisteriapoint_settings::vm::LogFormat;

use crate::Error;

/// Sends log lines to standard error.
///
/// # Errors
///
/// Fails if logging was set up before.
pub fn init(format: LogFormat, level: log::LevelFilter) -> Result<(), Error> {
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("wisteriapoint", level)
        .chain(std::io::stderr());
    let dispatch = match format {
        LogFormat::Plain => dispatch.format(|out, message, record| {
            out.finish(format_args!(
                "{} {} {} {message}",
                now_ms(),
                record.level(),
                record.target(),
            ));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            let line = serde_json::json!({
                "at_ms": now_ms(),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        }),
    };
    Ok(dispatch.apply()?)
}

fn now_ms() -> u128 {
    SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap_or_default()
        .as_millis()
}
