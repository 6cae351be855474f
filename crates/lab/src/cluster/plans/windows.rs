//! Plans of windows of maintenance.

use super::BuiltIn;

/// See the module.
pub const PLANS: &[BuiltIn] = &[];
