"""HTTP server and HTTP client."""
