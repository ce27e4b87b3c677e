# Helpers shared by the benchmarks of a running cell.
import http.client
import re


def ask(addr, method, path, key="", body=None, headers=None, timeout=30):
    """Sends a request.  Returns (status, text); status 0 if it failed."""
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
    """Returns a counter of one node; 0 while the node does not answer."""
    text = ask(addr, "GET", "/metrics")[1]
    m = re.search(r"^orioleglade_%s (\d+)" % name, text, re.M)
    return int(m.group(1)) if m else 0
