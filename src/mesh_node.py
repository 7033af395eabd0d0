"""Starts the platform's node from a checkout."""

import signal

if __name__ == "__main__":
    # The platform may send SIGHUP during the imports below. By default it would
    # end the process; the settings are read later in any case.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from auburnrock.programs import mesh_node

    mesh_node.run()
