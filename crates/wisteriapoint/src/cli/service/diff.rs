//! Line diffs between two texts.

use similar::TextDiff;

const CONTEXT_LINES: usize = 2;

/// Returns the unified diff between two texts, each given as its name and content.
pub(super) fn unified(from: (&str, &str), to: (&str, &str)) -> String {
    let ((from_name, from), (to_name, to)) = (from, to);
    TextDiff::from_lines(from, to)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .missing_newline_hint(false)
        .header(from_name, to_name)
        .to_string()
}
