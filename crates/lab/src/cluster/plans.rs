//! The built-in plans, by concern. They are texts like any other.

mod custody;
mod membership;
mod settings;
mod site;
mod windows;

/// A built-in plan: its name, what it tries, and its text.
pub type BuiltIn = (&'static str, &'static str, &'static str);

/// All of them.
pub fn all() -> impl Iterator<Item = &'static BuiltIn> {
    [membership::PLANS, settings::PLANS, site::PLANS, custody::PLANS, windows::PLANS].into_iter().flatten()
}
