//! Real edge hosts, as processes, against a stand-in of the platform.

mod changes;
mod hosts;
mod serving;
