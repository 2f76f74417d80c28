//! Errors in settings.

use snafu::Snafu;

/// One error in a settings document, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    pub column: usize,
    pub expected: String,
    pub found: String,
    pub line: usize,
    /// The path of the key inside the document, such as `backend.capacity`.
    pub path: String,
}

/// Why settings were refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The document is valid YAML but not valid settings; lists all its faults.
    #[snafu(display("{}", list(file, faults)))]
    Faults { faults: Vec<Fault>, file: String },
    #[snafu(display("can't read settings `{file}`: {source}"))]
    Read {
        file: String,
        source: std::io::Error,
    },
    #[snafu(display("{file}:{line}:{column}: not YAML: {message}"))]
    Syntax {
        column: usize,
        file: String,
        line: usize,
        message: String,
    },
}

fn list(file: &str, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| {
            format!(
                "{file}:{}:{}: `{}`: expected {}, found {}",
                fault.line, fault.column, fault.path, fault.expected, fault.found
            )
        })
        .collect();
    lines.join("\n")
}
