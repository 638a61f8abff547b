//! Open-loop load for entry hosts.

fn main() {}
