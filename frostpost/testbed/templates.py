TEMPLATES = {
    "clerks": {
        "parameters": {
            "keepMs": {"default": 600000, "min": 60000, "max": 86400000},
            "auditUrgency": {"default": "batch", "allowed": ["batch", "normal"]},
            "checkOutput": {"default": 16, "min": 1, "max": 100000},
        },
        "lanes": {
            "check": {
                "kind": "turn",
                "pools": ["hmodel"],
                "urgency": "normal",
                "limitMs": 20000,
                "keepMs": {"$param": "keepMs"},
                "budget": 1000000,
                "maxOutput": {"$param": "checkOutput"},
            },
            "audit": {
                "kind": "turn",
                "pools": ["hmodel"],
                "urgency": {"$param": "auditUrgency"},
                "limitMs": 30000,
                "keepMs": {"$param": "keepMs"},
                "budget": 400,
                "maxOutput": 32,
            },
            "flags": {"kind": "lookup", "pools": ["hlookup"], "repeat": "free", "urgency": "urgent", "limitMs": 800},
            "rates": {"kind": "lookup", "pools": ["hlookup"], "repeat": "once", "urgency": "urgent", "limitMs": 1000},
            "claims": {"kind": "lookup", "pools": ["hlookup"], "repeat": "keyed", "urgency": "normal", "limitMs": 1000},
        },
    },
    "kitchens": {
        "parameters": {"keepMs": {"default": 600000, "min": 60000, "max": 86400000}},
        "lanes": {
            "menu": {
                "kind": "turn",
                "pools": ["tmodel"],
                "limitMs": 20000,
                "keepMs": {"$param": "keepMs"},
                "budget": 10,
                "maxOutput": 8,
            },
            "week": {
                "kind": "turn",
                "pools": ["tmodel"],
                "urgency": "batch",
                "limitMs": 30000,
                "keepMs": {"$param": "keepMs"},
                "budget": 400,
                "maxOutput": 32,
            },
            "labels": {"kind": "lookup", "pools": ["tlookup"], "repeat": "free", "urgency": "urgent", "limitMs": 700},
            "cards": {"kind": "lookup", "pools": ["tlookup"], "repeat": "once", "urgency": "urgent", "limitMs": 900},
            "notices": {"kind": "lookup", "pools": ["tlookup"], "repeat": "keyed", "limitMs": 1000},
        },
    },
}
TENANTS = {
    "hlidar": {"template": "clerks", "parameters": {"keepMs": 900000}},
    "tamar": {"template": "kitchens"},
}
DEPLOYMENTS = {
    "hlidar": {"check": 20.0, "audit": 4.0, "lookups": ("flags", "rates", "claims")},
    "tamar": {"menu": 12.0, "week": 3.0, "lookups": ("labels", "cards", "notices")},
}
