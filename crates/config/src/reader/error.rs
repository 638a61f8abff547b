//! Errors of a YAML document.

#![expect(missing_docs, reason = "the macro takes no documentation of fields")]

use quick_error::quick_error;

quick_error! {
    /// Why a YAML document is refused.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ConfigError {
        /// The file cannot be read.
        Unreadable { file: String, why: String } {
            display("cannot read {}: {}", file, why)
        }
        /// The text is not YAML, or its top is not a mapping.
        Malformed { file: String, why: String } {
            display("{}: not a YAML mapping: {}", file, why)
        }
        /// A field is missing.
        Missing { file: String, line: usize, field: String, expected: String } {
            display("{}:{}: `{}` is missing; give {}", file, line, field, expected)
        }
        /// A field is not known.
        Unknown { file: String, line: usize, field: String, expected: String } {
            display("{}:{}: `{}` is not a known field; known are {}", file, line, field, expected)
        }
        /// A field has a value of the wrong type, unit or range.
        Invalid { file: String, line: usize, field: String, value: String, expected: String } {
            display("{}:{}: `{}` is `{}`; give {}", file, line, field, value, expected)
        }
    }
}
