//! Tests of real edge hosts, run as processes against a stand-in for the platform.

mod admission;
mod changes;
mod evacuation;
mod hosts;
mod load;
mod notices;
mod quarantine;
mod serving;
