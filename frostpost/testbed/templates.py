"""Templates, tenants and load of the stand-in deployments."""

TEMPLATES = {
    "clerks": {
        "parameters": {
            "retention_ms": {"default": 600000, "min": 60000, "max": 86400000},
            "audit_urgency": {"default": "batch", "allowed": ["batch", "normal"]},
            "check_output": {"default": 16, "min": 1, "max": 100000},
        },
        "routes": {
            "check": {
                "kind": "turn",
                "pools": ["hmodel"],
                "urgency": "normal",
                "deadline_ms": 20000,
                "retention_ms": {"$param": "retention_ms"},
                "budget": 1000000,
                "max_output": {"$param": "check_output"},
            },
            "audit": {
                "kind": "turn",
                "pools": ["hmodel"],
                "urgency": {"$param": "audit_urgency"},
                "deadline_ms": 30000,
                "retention_ms": {"$param": "retention_ms"},
                "budget": 400,
                "max_output": 32,
            },
            "flags": {
                "kind": "lookup",
                "pools": ["hlookup"],
                "repeat": "free",
                "urgency": "urgent",
                "deadline_ms": 800,
            },
            "rates": {
                "kind": "lookup",
                "pools": ["hlookup"],
                "repeat": "once",
                "urgency": "urgent",
                "deadline_ms": 1000,
            },
            "claims": {
                "kind": "lookup",
                "pools": ["hlookup"],
                "repeat": "keyed",
                "urgency": "normal",
                "deadline_ms": 1000,
            },
        },
    },
    "kitchens": {
        "parameters": {"retention_ms": {"default": 600000, "min": 60000, "max": 86400000}},
        "routes": {
            "menu": {
                "kind": "turn",
                "pools": ["tmodel"],
                "deadline_ms": 20000,
                "retention_ms": {"$param": "retention_ms"},
                "budget": 10,
                "max_output": 8,
            },
            "week": {
                "kind": "turn",
                "pools": ["tmodel"],
                "urgency": "batch",
                "deadline_ms": 30000,
                "retention_ms": {"$param": "retention_ms"},
                "budget": 400,
                "max_output": 32,
            },
            "labels": {
                "kind": "lookup",
                "pools": ["tlookup"],
                "repeat": "free",
                "urgency": "urgent",
                "deadline_ms": 700,
            },
            "cards": {
                "kind": "lookup",
                "pools": ["tlookup"],
                "repeat": "once",
                "urgency": "urgent",
                "deadline_ms": 900,
            },
            "notices": {"kind": "lookup", "pools": ["tlookup"], "repeat": "keyed", "deadline_ms": 1000},
        },
    },
}
TENANTS = {
    "hlidar": {"template": "clerks", "parameters": {"retention_ms": 900000}},
    "tamar": {"template": "kitchens"},
}
DEPLOYMENTS = {
    "hlidar": {"check": 20.0, "audit": 4.0, "lookups": ("flags", "rates", "claims")},
    "tamar": {"menu": 12.0, "week": 3.0, "lookups": ("labels", "cards", "notices")},
}
