"""Sockets: HTTP server, HTTP clients, and the loop that feeds the owner."""
