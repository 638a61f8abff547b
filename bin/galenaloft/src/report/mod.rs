//! Replies as text for people.

mod answer;
mod hosts;

pub use answer::answer;
pub use answer::receipt;
pub use hosts::hosts;
