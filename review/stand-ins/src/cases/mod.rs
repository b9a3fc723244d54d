//! The cases, one a module.
pub mod founding;
pub mod moved_key;
pub mod moved_page;
pub mod outcomes;
pub mod replaced;
pub mod uploads;
