"""The edge node on sockets: thin network code round the decisions. No decisions here."""
