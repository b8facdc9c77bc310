//! The configuration file. Its list of machines is by far its largest part and is read apart, machine by machine: as a
//! tree of JSON values it would take several times its length in memory.
use rockpick_platform::roster::{RosterMessage, UpdateSeed};
use serde::de::{Deserializer, IgnoredAny, MapAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;
use std::path::Path;

/// Largest file that is read; a list of some ten thousand machines fits in.
const MAX_FILE_LEN: u64 = 8 * 1024 * 1024;
/// The field of the list of machines.
const ROSTER_FIELD: &str = "known";

/// The text of a configuration.
pub struct ConfigFile {
    name: String,
    text: Vec<u8>,
}

impl ConfigFile {
    /// Reads a file.
    ///
    /// # Errors
    /// The file, and why it can't be read.
    pub fn read(file: &Path) -> Result<ConfigFile, String> {
        let in_file = |why: String| format!("{}: {why}", file.display());
        let len = std::fs::metadata(file).map_err(|err| in_file(err.to_string()))?.len();
        if len > MAX_FILE_LEN {
            return Err(in_file(format!("{len} bytes, at most {MAX_FILE_LEN} are read")));
        }
        let text = std::fs::read(file).map_err(|err| in_file(err.to_string()))?;
        Ok(ConfigFile { name: file.display().to_string(), text })
    }

    /// All fields but the list of machines.
    ///
    /// # Errors
    /// The file, and why its text is no JSON object.
    pub fn fields(&self) -> Result<Value, String> {
        let mut json = serde_json::Deserializer::from_slice(&self.text);
        let fields = json.deserialize_map(FieldsVisitor).and_then(|fields| json.end().map(|()| fields));
        fields.map(Value::Object).map_err(|err| format!("{}: {err}", self.name))
    }

    /// The list of machines, if there is a valid one.
    pub fn roster(&self, zones: &mut Vec<String>) -> Option<RosterMessage> {
        let mut json = serde_json::Deserializer::from_slice(&self.text);
        json.deserialize_map(RosterVisitor { zones }).ok().flatten()
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Map<String, Value>;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Map<String, Value>, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = entries.next_key::<String>()? {
            if name == ROSTER_FIELD {
                entries.next_value::<IgnoredAny>()?;
            } else {
                let value = entries.next_value()?;
                fields.insert(name, value);
            }
        }
        Ok(fields)
    }
}

struct RosterVisitor<'a> {
    zones: &'a mut Vec<String>,
}

impl<'de> Visitor<'de> for RosterVisitor<'_> {
    type Value = Option<RosterMessage>;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Option<RosterMessage>, A::Error> {
        let mut roster = None;
        while let Some(name) = entries.next_key::<String>()? {
            if name == ROSTER_FIELD {
                roster = Some(entries.next_value_seed(UpdateSeed { zones: self.zones })?);
            } else {
                entries.next_value::<IgnoredAny>()?;
            }
        }
        Ok(roster)
    }
}
