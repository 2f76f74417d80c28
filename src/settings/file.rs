//! Loads, parses and checks settings files.

use super::{
    Reader,
    SettingsError,
    fault::{FaultsSnafu, ReadSnafu, SyntaxSnafu}, //
};
use snafu::ResultExt;
use std::{
    cell::RefCell,
    path::Path,
    rc::Rc, //
};

/// Loads the file at `path`, then parses and checks it with `read_root`.
pub fn load<T>(path: &Path, read_root: impl Fn(&Reader<'_>) -> T) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { file: &file })?;
    read(&file, &text, read_root)
}

/// Parses `text` and checks it with `read_root`; errors name it `file`.
pub fn read<T>(
    file: &str,
    text: &str,
    read_root: impl Fn(&Reader<'_>) -> T,
) -> Result<T, SettingsError> {
    let root = marked_yaml::parse_yaml(0, text).map_err(|error| syntax(file, &error))?;
    let faults = Rc::new(RefCell::new(Vec::new()));
    let reader = Reader::new(&root, faults.clone());
    let value = read_root(&reader);
    reader.finish();

    let mut faults = faults.take();
    if faults.is_empty() {
        return Ok(value);
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    FaultsSnafu { faults, file }.fail()
}

fn syntax(file: &str, error: &marked_yaml::LoadError) -> SettingsError {
    use marked_yaml::LoadError;
    let marker = match error {
        LoadError::TopLevelMustBeMapping(at)
        | LoadError::UnexpectedAnchor(at)
        | LoadError::MappingKeyMustBeScalar(at)
        | LoadError::UnexpectedTag(at)
        | LoadError::ScanError(at, _) => Some(at),
        _ => None,
    };
    SyntaxSnafu {
        column: marker.map_or(1, marked_yaml::Marker::column),
        file,
        line: marker.map_or(1, marked_yaml::Marker::line),
        message: error.to_string(),
    }
    .build()
}
