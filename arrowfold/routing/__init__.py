"""The core: sessions, the server table, dispatches and deadlines. Independent of any protocol."""
