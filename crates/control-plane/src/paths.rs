//! Paths and keys of the protocol.

/// Prefix of the configuration service's keys. `?after=V&wait_ms=M` waits for a version above V.
pub const CONFIG_PATH: &str = "/v1/config/";

/// The host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Key of the operators' sheet.
pub const SHEET_KEY: &str = "sheet";

/// Key of the catalogue's layout.
pub const LAYOUT_KEY: &str = "layout";
