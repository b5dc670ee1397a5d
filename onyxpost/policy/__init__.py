"""Every decision of an edge node: whether to let a req in, to which app server, when again, what peers hear.

How to call it: make one `gateway.Gateway` for each life of an edge node, then call `round(now, news, writer)`
when something came in. `news` holds (handler's name, fields...) in order of arrival; the handlers are
`Gateway`'s methods under "What comes in". Decisions go into `writer`; the types and its Protocol are in
`onyxpost/interface.py`. Times are milliseconds.
"""
