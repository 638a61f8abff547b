//! HTTP paths and configuration keys of the control plane.

/// Path prefix of the configuration service, followed by a key.
///
/// With `?after=V&wait_ms=M`, a `GET` waits up to M milliseconds for a version above V.
pub const CONFIG_PATH: &str = "/v1/config/";

/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Key of the operators' sheet.
pub const SHEET_KEY: &str = "sheet";

/// Key of the catalogue's layout.
pub const LAYOUT_KEY: &str = "layout";
