"""The core: sessions, the server table, dispatches and deadlines. Knows no wire."""
