//! Structured log lines: the text of an event, then fields.

#[doc(hidden)]
pub use log;

/// Logs one structured line: the text of an event, then fields whose values implement `Display`.
///
/// ```
/// wisteriapoint_event::event!(info, "request answered", id = "7c41", status = 200);
/// ```
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::log::$level!(
            concat!("\"event\":\"", $name, "\"" $(, ",\"", stringify!($key), "\":{}")*),
            $($crate::json_value(&$value)),*
        )
    };
}

/// Formats a value as JSON: as a number if its text is an integer, else as a string.
pub fn json_value(value: &dyn std::fmt::Display) -> String {
    let text = value.to_string();
    match text.parse::<i64>() {
        Ok(number) if number.to_string() == text => text,
        _ => serde_json::Value::String(text).to_string(),
    }
}
