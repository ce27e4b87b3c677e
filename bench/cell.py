# What the measurements over a running cell share.
import http.client
import re


def ask(addr, method, path, key="", body=None, headers=None, timeout=30):
    """One exchange: status and text; status 0 when the connection failed."""
    c = http.client.HTTPConnection(addr, timeout=timeout)
    try:
        c.request(method, path, body,
                  {"Authorization": "Bearer " + key, **(headers or {})})
        r = c.getresponse()
        return r.status, r.read().decode()
    except (OSError, http.client.HTTPException) as e:
        return 0, str(e)
    finally:
        c.close()


def counter(addr, name):
    """A node's own counter; 0 while it does not answer."""
    text = ask(addr, "GET", "/metrics")[1]
    m = re.search(r"^orioleglade_%s (\d+)" % name, text, re.M)
    return int(m.group(1)) if m else 0
