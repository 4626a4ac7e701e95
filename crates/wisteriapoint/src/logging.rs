//! Log output as text or JSON lines.

use std::time::SystemTime;

use wisteriapoint_settings::vm::LogFormat;

use crate::Error;

/// Initializes logging to standard error.
///
/// # Errors
///
/// Fails if logging was already initialized.
pub fn init(format: LogFormat, level: log::LevelFilter) -> Result<(), Error> {
    Ok(dispatch(format, level).chain(std::io::stderr()).apply()?)
}

/// Returns a dispatcher that formats log records; those of other crates are written only if
/// they are warnings or errors.
pub fn dispatch(format: LogFormat, level: log::LevelFilter) -> fern::Dispatch {
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("wisteriapoint", level);
    match format {
        LogFormat::Plain => dispatch.format(|out, message, record| {
            // Keeps each record on one line.
            let message = message.to_string().replace('\n', "; ");
            let (at_ms, level, target) = (now_ms(), record.level(), record.target());
            out.finish(format_args!("{at_ms} {level} {target} {message}"));
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
    }
}

fn now_ms() -> u128 {
    SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap_or_default()
        .as_millis()
}
