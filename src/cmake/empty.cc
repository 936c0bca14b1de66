// Keeps a package without sources buildable.
